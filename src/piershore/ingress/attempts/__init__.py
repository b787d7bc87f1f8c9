"""Attempts to send a request to an endpoint, and their accounting."""
