"""Plain requests, answered as a whole."""
