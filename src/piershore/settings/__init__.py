"""Settings of the processes, read from YAML."""
