"""Quarantine for requests that crash endpoints."""
