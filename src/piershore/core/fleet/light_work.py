"""The recent light generations of one service and priority at one gateway."""

from __future__ import annotations

from collections import deque
from math import isfinite
from statistics import median, quantiles

MIN_WINDOW_SECONDS = 2.0
"""Shortest time over which the rate of arrivals is measured: half of a short burst."""
MAX_WINDOW_SECONDS = 30.0
"""Longest time over which it is measured; older arrivals are forgotten."""
MIN_WINDOW_ARRIVALS = 8
"""The window extends until it contains this many arrivals, if there are any: with
fewer, the rate is mostly chance."""
MAX_SERVED_SAMPLES = 32
"""Latest generations from which the time that one holds its memory is derived."""


class LightWork:
    """Measures how often light generations arrive, and how long they hold memory."""

    def __init__(self, now: float) -> None:
        self._since = now
        self._arrivals: deque[tuple[float, int]] = deque()
        self._served_seconds: deque[float] = deque(maxlen=MAX_SERVED_SAMPLES)

    @property
    def held_seconds(self) -> float:
        """The time that one generation holds its memory; 0 if none was served.

        The lower quartile of the times from arrival to end: the longer ones contain
        time that generations have queued without memory.
        """
        if len(self._served_seconds) < 2:
            return sum(self._served_seconds)
        return quantiles(self._served_seconds, n=4, method="inclusive")[0]

    @property
    def tokens_each(self) -> float:
        """The memory of a typical generation; 0 if none has arrived lately."""
        return median(tokens for _, tokens in self._arrivals) if self._arrivals else 0.0

    def record_arrival(self, tokens: int, now: float) -> None:
        """Record a generation that will hold this much memory."""
        self._arrivals.append((now, tokens))
        self.drop_expired(now)

    def record_served(self, seconds: float) -> None:
        """Record the time from a generation's arrival to its end; ignore bad values."""
        if isfinite(seconds) and seconds > 0:
            self._served_seconds.append(seconds)

    def drop_expired(self, now: float) -> bool:
        """Drop arrivals outside the window; return whether any remain."""
        arrivals = self._arrivals
        while arrivals and self._is_expired(now - arrivals[0][0]):
            arrivals.popleft()
        return bool(arrivals)

    def arrivals_per_second(self, now: float) -> float:
        """Return the rate of arrivals over the window."""
        if not self.drop_expired(now):
            return 0.0
        count = len(self._arrivals)
        window = min(now - self._since, MAX_WINDOW_SECONDS)
        if count >= MIN_WINDOW_ARRIVALS:
            window = now - self._arrivals[0][0]
        return count / max(MIN_WINDOW_SECONDS, window)

    def _is_expired(self, age: float) -> bool:
        if age > MAX_WINDOW_SECONDS:
            return True
        return age > MIN_WINDOW_SECONDS and len(self._arrivals) > MIN_WINDOW_ARRIVALS
