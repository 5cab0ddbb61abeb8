"""Stand in for the systems of the users."""
