"""Serving system for generations of unknown length on overloaded engines."""
