"""Decision logic without I/O: events, time and a random source in, actions out."""
