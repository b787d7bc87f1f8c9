"""Configuration objects and the distribution of their versions."""
