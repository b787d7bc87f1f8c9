"""Admission and queueing on one engine."""
