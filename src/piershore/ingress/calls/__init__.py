"""Plain requests, whose answer is forwarded as a whole."""
