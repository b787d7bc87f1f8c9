"""Clients for model engines and plain services."""
