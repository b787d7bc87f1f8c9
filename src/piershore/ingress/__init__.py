"""The gateway before callers that speak HTTP to routes of their own."""
