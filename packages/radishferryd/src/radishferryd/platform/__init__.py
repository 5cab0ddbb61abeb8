"""Speak the formats and calls of the users' platform.

Nothing here decides: each module turns wire names into the project's types
and back. No other package knows a name of the wire.
"""
