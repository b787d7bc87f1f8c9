"""What is followed in the platform's store."""
