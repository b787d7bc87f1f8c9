"""The gateway that forwards callers' HTTP requests along configured routes."""
