"""What is known of each attempt at an endpoint, and what may follow it."""
