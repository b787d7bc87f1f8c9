"""A link of limited bandwidth that the connections of one process share."""

from __future__ import annotations

from math import inf

import trio

CHUNK_BYTES = 4_096


class PacedLink:
    """Limits the bytes a second of all connections together, chunk by chunk."""

    def __init__(self, bytes_per_second: float) -> None:
        self.passed = 0
        self._bytes_per_second = bytes_per_second
        self._turn = trio.Lock()
        self._free_at = float("-inf")

    async def pass_bytes(self, count: int) -> None:
        """Return when `count` bytes have passed."""
        async with self._turn:
            start = max(self._free_at, trio.current_time())
            self._free_at = start + count / self._bytes_per_second
            await trio.sleep_until(self._free_at)
            self.passed += count


class PacedStream:
    """A connection that sends over a paced link and breaks after a number of bytes."""

    def __init__(
        self, stream: trio.SocketStream, link: PacedLink, breaks_after: float = inf
    ) -> None:
        self._stream = stream
        self._link = link
        self._bytes_left = breaks_after

    def __getattr__(self, name: str) -> object:
        return getattr(self._stream, name)

    async def send_all(self, data: bytes) -> None:
        """Send at the link's rate."""
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = data[start : start + CHUNK_BYTES]
            self._bytes_left -= len(chunk)
            if self._bytes_left < 0:
                await trio.aclose_forcefully(self._stream)
                raise trio.BrokenResourceError("the link broke")
            await self._link.pass_bytes(len(chunk))
            await self._stream.send_all(chunk)
