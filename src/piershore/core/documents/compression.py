"""Compression of what gateways tell each other of documents."""

from __future__ import annotations

import zlib

LEVEL = 1
"""1 MB of 4,000 routes with random names gets 8.5 times smaller in 9 ms of a core, at
level 6 9.4 times in 17 ms."""
LARGEST_BYTES = 16_777_216
"""A message that is larger when it is unpacked is faulty: a document has some MB."""


def compress(data: bytes) -> bytes:
    """Return `data` compressed."""
    return zlib.compress(data, LEVEL)


def decompress(data: bytes) -> bytes:
    """Return what was compressed; raise `zlib.error` or ValueError if it is faulty."""
    unpacker = zlib.decompressobj()
    unpacked = unpacker.decompress(data, LARGEST_BYTES)
    if not unpacker.eof:
        raise ValueError("the message is cut short or too large")
    return unpacked
