"""Implement the formats and calls of the users' platform.

The modules only convert between wire names and the project's types and make
no decisions. No other package uses the names of the wire format.
"""
