"""Messages and streams between gateway and agent."""
