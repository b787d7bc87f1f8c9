"""Settings of the processes."""
