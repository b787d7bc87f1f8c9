"""Configuration objects and their spread by version."""
