"""The rate that one endpoint takes from the only process that sends to it."""

from __future__ import annotations

from piershore.core.limits.token_bucket import TokenBucket

CROSSING_SECONDS = 0.5
"""Answers may overtake each other by this much: one without a rate ends a limit only
if it comes so long after the last one that named it."""
LOWEST_RATE = 0.1
"""Requests a second that are sent to an endpoint that takes fewer, or none: its answers
tell when that is over."""
BURST_SECONDS = 1.0


class EndpointRate:
    """Permits for requests; without a limit there is always one."""

    def __init__(self) -> None:
        self._rate: float | None = None
        self._named_at = float("-inf")
        self._bucket = TokenBucket(0.0, 0.0)

    def record_answer(self, rate: float | None, now: float) -> None:
        """Take the rate that an answer names, in requests a second, if it names one."""
        if rate is None:
            if now - self._named_at >= CROSSING_SECONDS:
                self._rate = None
            return
        rate = max(rate, LOWEST_RATE)
        if self._rate is None:
            self._bucket = TokenBucket(1.0, now)
        else:
            self._refill(now)
        self._rate, self._named_at = rate, now

    def take(self, now: float) -> bool:
        """Take a permit, if there is one."""
        if self.seconds_left(now):
            return False
        if self._rate is not None:
            self._bucket.take()
        return True

    def seconds_left(self, now: float, waiting: int = 0) -> float:
        """Return when a request may be sent after some that wait; 0 if that is now."""
        if self._rate is None:
            return 0.0
        self._refill(now)
        return self._bucket.seconds_left(self._rate) + waiting / self._rate

    def _refill(self, now: float) -> None:
        burst = max(1.0, self._rate * BURST_SECONDS)
        self._bucket.refill(self._rate, burst, now)
