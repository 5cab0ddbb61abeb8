"""Decisions of hosts that send to servers directly."""
