"""Times at which this gateway sent its recent requests, by endpoint."""

from __future__ import annotations

from collections import deque


class SentRequests:
    """Times of recent requests by endpoint identity, in seconds."""

    def __init__(self) -> None:
        self._times: dict[str, deque[float]] = {}

    def record(self, identity: str, now: float, window: float) -> None:
        """Record a request, and drop those older than `window` seconds."""
        times = self._times.setdefault(identity, deque())
        while times and times[0] <= now - window:
            times.popleft()
        times.append(now)

    def count(self, identity: str, since: float) -> int:
        """Return how many requests were sent after `since`."""
        return sum(at > since for at in self._times.get(identity, ()))

    def latest(self, identity: str, count: int) -> float | None:
        """Return when the `count`-th last request was sent; None if there are fewer."""
        times = self._times.get(identity, ())
        return times[-count] if len(times) >= count else None

    def identities(self) -> set[str]:
        """Return the endpoints with recorded requests."""
        return set(self._times)

    def forget(self, identity: str) -> None:
        """Drop the records of one endpoint."""
        self._times.pop(identity, None)
