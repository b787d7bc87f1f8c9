"""Open streams, relay their events and continue them at other endpoints."""
