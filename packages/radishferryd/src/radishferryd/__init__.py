"""Entry host process of radishferry."""
