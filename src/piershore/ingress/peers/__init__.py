"""Communication between gateways, and the work that they share out among themselves."""
