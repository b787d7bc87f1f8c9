"""Metrics, logs and their analysis."""
