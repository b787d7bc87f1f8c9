"""The gateway process: callers' API, operators' API and routing to agents."""
