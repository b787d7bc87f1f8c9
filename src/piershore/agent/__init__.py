"""The agent: a sidecar process that serves one endpoint."""
