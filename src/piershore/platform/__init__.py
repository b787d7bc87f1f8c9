"""Adapters to the platform's object API."""
