"""Memory for answers that are read as a whole."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

CAPACITY_BYTES = 32 * 1_024 * 1_024
"""A quarter of the memory of the smallest boxes."""
GUARANTEED_BYTES = 256 * 1_024
"""An answer up to this size is never refused."""


class BodyBuffer:
    """The part of an answer's body that has arrived."""

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._data = bytearray()

    def __len__(self) -> int:
        return len(self._data)

    def append(self, chunk: bytes) -> bool:
        """Keep a chunk; return False if the body gets too large for the memory left."""
        size = len(self._data) + len(chunk)
        if size > GUARANTEED_BYTES and not self._memory.has_room(size, len(chunk)):
            return False
        self._memory.used_bytes += len(chunk)
        self._data += chunk
        return True

    def data(self) -> bytes:
        """Return what has arrived."""
        return bytes(self._data)


class BodyMemory:
    """Divides memory between the bodies that are read at the same time.

    Each may have as much as all of them leave free: one alone half of the capacity, and
    less the more there are. Several endless answers thus take no more than the capacity
    together, and leave room for others.
    """

    def __init__(self, capacity_bytes: int = CAPACITY_BYTES) -> None:
        self._capacity_bytes = capacity_bytes
        self.used_bytes = 0

    @contextmanager
    def buffer(self) -> Iterator[BodyBuffer]:
        """Provide a buffer for one body, and free its memory at the end."""
        buffer = BodyBuffer(self)
        try:
            yield buffer
        finally:
            self.used_bytes -= len(buffer)

    def has_room(self, size: int, more: int) -> bool:
        """Return whether a body may grow by `more` bytes to `size`."""
        return size <= self._capacity_bytes - self.used_bytes - more
