"""Outcomes of attempts at endpoints, and the rules for retries."""
