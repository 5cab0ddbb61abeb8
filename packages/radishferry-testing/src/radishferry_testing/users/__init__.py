"""Simulate the systems of the users for tests."""
