"""Simulate store, servers and callers that radishferryd.router works with."""
