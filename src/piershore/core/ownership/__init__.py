"""At-most-once execution through ownership of intervals of mint time."""
