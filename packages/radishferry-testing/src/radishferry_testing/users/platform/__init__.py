"""Simulate the users' store and servers by their published protocol."""
