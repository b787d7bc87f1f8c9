"""Streams: opened, relayed, and continued at another endpoint."""
