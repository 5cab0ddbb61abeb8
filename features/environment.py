"""Set up fixtures shared by the features."""
