"""Inject random faults into real processes and check the guarantees."""
