"""Route requests of callers to servers in one hop."""
