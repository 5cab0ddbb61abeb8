"""Stand-ins and load tools for radishferry."""
