"""Followers of the configuration, endpoints and drains in the platform's store."""
