"""The rest that the endpoint beside an agent has asked for."""

from __future__ import annotations

import trio


class EndpointRest:
    """Knows how long nothing may be sent to the endpoint."""

    def __init__(self) -> None:
        self._until = float("-inf")

    def note(self, seconds: float) -> None:
        """Note that the endpoint wants nothing for some seconds."""
        self._until = max(self._until, trio.current_time() + seconds)

    @property
    def seconds_left(self) -> float:
        """Seconds until something may be sent; 0 if that is now."""
        return max(0.0, self._until - trio.current_time())
