"""Pure decisions: events, the time and a random source in, actions out; no I/O."""
