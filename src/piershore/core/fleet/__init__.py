"""What a gateway believes of endpoints and of its peers, and what it chooses."""
