"""When this gateway sent its latest requests, by endpoint."""

from __future__ import annotations

from collections import deque


class SentRequests:
    """Times of requests by endpoint identity; times are in seconds."""

    def __init__(self) -> None:
        self._times: dict[str, deque[float]] = {}

    def record(self, identity: str, now: float, window: float) -> None:
        """Count a request; those older than `window` are dropped."""
        times = self._times.setdefault(identity, deque())
        while times and times[0] <= now - window:
            times.popleft()
        times.append(now)

    def count(self, identity: str, since: float) -> int:
        """Return how many requests were sent after a time."""
        return sum(at > since for at in self._times.get(identity, ()))

    def latest(self, identity: str, count: int) -> float | None:
        """Return when the last request but `count - 1` was sent, if there is one."""
        times = self._times.get(identity, ())
        return times[-count] if len(times) >= count else None

    def identities(self) -> set[str]:
        """Return the endpoints to which requests were counted."""
        return set(self._times)

    def forget(self, identity: str) -> None:
        """Drop what is known of one endpoint."""
        self._times.pop(identity, None)
