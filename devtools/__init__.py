"""Tools of the developers: demo, checks, benchmarks."""
