"""A randomized soak: real gateways before stand-ins, faults injected from outside."""
