"""Route requests from callers directly to backend servers."""
