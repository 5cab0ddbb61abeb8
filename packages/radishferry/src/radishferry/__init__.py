"""Decisions of the radishferry router, free of I/O."""
