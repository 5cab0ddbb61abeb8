"""Command line for operators of radishferry."""
