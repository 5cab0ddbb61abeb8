"""Measure deployments while faults are injected."""
