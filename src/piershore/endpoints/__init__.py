"""Adapters to model engines and plain services."""
