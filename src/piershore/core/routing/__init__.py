"""Endpoint selection, apertures and backoff."""
