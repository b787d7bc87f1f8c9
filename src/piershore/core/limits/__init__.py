"""Rate limits of client accounts and endpoints."""
