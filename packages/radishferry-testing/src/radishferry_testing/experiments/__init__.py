"""Measure deployments under load and injected faults."""
