"""One attempt at an endpoint, and what is noted of it."""
