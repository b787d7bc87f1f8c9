"""The backoff that an endpoint requests."""

from __future__ import annotations


class Backoff:
    """The latest end of all backoffs that one endpoint has requested.

    Neither a later request for a shorter backoff nor a success ends it.
    """

    def __init__(self) -> None:
        self._until = float("-inf")

    def extend(self, seconds: float, now: float) -> None:
        """Extend the backoff to at least `seconds` from now."""
        self._until = max(self._until, now + seconds)

    def seconds_left(self, now: float) -> float:
        """Return the seconds until requests may be sent again; 0 if now."""
        return max(0.0, self._until - now)
