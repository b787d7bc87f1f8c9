"""A gateway's view of its endpoints and peers, and the decisions based on it."""
