"""Hold hooks shared by all features; there are none."""
