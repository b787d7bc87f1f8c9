"""Recent times from requests to the first events of their streams."""

from __future__ import annotations

from dataclasses import dataclass

WINDOW_SECONDS = 10.0
"""How long a time counts at least; at most, it counts twice as long."""


@dataclass
class _Maxima:
    """The longest time of the window that began at `since`, and of the one before."""

    since: float
    current: float = 0.0
    previous: float = 0.0


class FirstEventTimes:
    """The longest recent time to the first event, by route."""

    def __init__(self) -> None:
        self._maxima: dict[str, _Maxima] = {}

    def record(self, route: str, seconds: float, now: float) -> None:
        """Record the time to the first event of one stream."""
        maxima = self._maxima.setdefault(route, _Maxima(now))
        self._advance(maxima, now)
        maxima.current = max(maxima.current, seconds)

    def longest(self, route: str, now: float) -> float | None:
        """Return the longest recent time in seconds; None if there was none."""
        maxima = self._maxima.get(route)
        if maxima is None:
            return None
        self._advance(maxima, now)
        return max(maxima.current, maxima.previous) or None

    @staticmethod
    def _advance(maxima: _Maxima, now: float) -> None:
        age = now - maxima.since
        if age < WINDOW_SECONDS:
            return
        maxima.previous = maxima.current if age < 2 * WINDOW_SECONDS else 0.0
        maxima.current = 0.0
        maxima.since = now
