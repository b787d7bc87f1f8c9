"""Command-line interface: one module per verb."""
