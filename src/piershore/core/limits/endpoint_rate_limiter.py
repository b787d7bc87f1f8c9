"""Rate limiter for an endpoint that only one process sends requests to."""

from __future__ import annotations

from piershore.core.limits.token_bucket import TokenBucket

MAX_REORDERING_SECONDS = 0.5
"""Time by which answers may overtake each other. An answer without a rate limit ends a
limit only if it arrives this long after the last answer that advertised it."""
MIN_REQUESTS_PER_SECOND = 0.1
"""Minimum rate of requests, also if an endpoint advertises a lower limit or zero: only
answers to requests can show that the limit has changed."""
BURST_SECONDS = 1.0


class EndpointRateLimiter:
    """Permits for requests; without a limit a permit is always available."""

    def __init__(self) -> None:
        self._rate: float | None = None
        self._limit_received_at = float("-inf")
        self._bucket = TokenBucket(0.0, 0.0)

    def record_answer(self, rate: float | None, now: float) -> None:
        """Record the rate limit that an answer advertises in requests per second.

        `rate` is None if the answer advertises no limit.
        """
        if rate is None:
            if now - self._limit_received_at >= MAX_REORDERING_SECONDS:
                self._rate = None
            return
        rate = max(rate, MIN_REQUESTS_PER_SECOND)
        if self._rate is None:
            self._bucket = TokenBucket(1.0, now)
        else:
            self._refill(now)
        self._rate, self._limit_received_at = rate, now

    def try_acquire(self, now: float) -> bool:
        """Take a permit if one is available; return whether it was."""
        if self.seconds_until_available(now):
            return False
        if self._rate is not None:
            self._bucket.consume()
        return True

    def seconds_until_available(self, now: float, waiting: int = 0) -> float:
        """Return the seconds until a permit is available for a request.

        The request is preceded by `waiting` others; 0 means now.
        """
        if self._rate is None:
            return 0.0
        self._refill(now)
        return self._bucket.seconds_until_available(self._rate) + waiting / self._rate

    def _refill(self, now: float) -> None:
        burst = max(1.0, self._rate * BURST_SECONDS)
        self._bucket.refill(self._rate, burst, now)
