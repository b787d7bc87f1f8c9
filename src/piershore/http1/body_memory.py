"""Memory for answers that are read as a whole."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

from piershore.http1.exceptions import AnswerTooLargeError

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

    async def join(self, chunks: AsyncIterator[bytes], max_bytes: int) -> bytes:
        """Return the chunks of one body as a whole.

        Raise `AnswerTooLargeError` if they have over `max_bytes`, or need more memory
        than others leave.
        """
        with self.buffer() as buffer:
            async for chunk in chunks:
                if len(buffer) + len(chunk) > max_bytes:
                    raise AnswerTooLargeError(f"the answer has over {max_bytes} bytes")
                if not buffer.append(chunk):
                    message = "there is no memory for the whole answer"
                    raise AnswerTooLargeError(message)
            return buffer.data()

    def has_room(self, size: int, more: int) -> bool:
        """Return whether a body may grow by `more` bytes to `size`."""
        return size <= self._capacity_bytes - self.used_bytes - more
