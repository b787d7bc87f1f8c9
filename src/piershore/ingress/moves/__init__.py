"""Move generations from one engine to another."""
