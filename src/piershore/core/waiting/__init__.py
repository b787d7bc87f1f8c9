"""The order in which generations get memory, and when refused callers return."""
