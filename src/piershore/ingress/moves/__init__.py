"""Moves of generations from one engine to another."""
