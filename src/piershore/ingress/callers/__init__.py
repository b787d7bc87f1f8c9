"""Callers' connections: requests in, answers and refusals out."""
