"""gRPC messages and streams between gateways and agents, and between gateways."""
