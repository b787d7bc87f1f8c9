"""Routing of requests to services by host and path."""
