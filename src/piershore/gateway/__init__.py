"""The entry process: callers' API, admin API and routing."""
