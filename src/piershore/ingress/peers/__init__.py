"""What gateways tell each other, and do for all."""
