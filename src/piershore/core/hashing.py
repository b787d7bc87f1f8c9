"""A hash function that gives the same result in all processes."""

from __future__ import annotations

from xxhash import xxh3_64_intdigest

SEPARATOR = "/"


def stable_hash(*parts: object) -> int:
    """Return a 64-bit hash of the parts that is the same in every process."""
    return xxh3_64_intdigest(SEPARATOR.join(map(str, parts)).encode())
