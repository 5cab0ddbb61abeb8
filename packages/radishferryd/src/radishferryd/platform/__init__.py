"""Implement the formats and calls of the users' platform.

The modules only convert between wire names and the project's types and make
no decisions. They are used in direct mode only, and by the commands of
``radishferryctl`` that read its store. No other package uses the names of the
wire format.
"""
