"""Documents that gateways read from each other in chunks."""
