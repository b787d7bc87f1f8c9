"""Connections of callers: their requests, the answers and the refusals."""
