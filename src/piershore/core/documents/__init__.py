"""Documents that gateways read from each other, part by part."""
