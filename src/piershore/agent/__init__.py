"""The process beside one endpoint."""
