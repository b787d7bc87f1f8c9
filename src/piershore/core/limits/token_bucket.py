"""A token bucket; times are in seconds."""

from __future__ import annotations


class TokenBucket:
    """Permits that are added at a rate, up to `burst`."""

    def __init__(self, burst: float, now: float) -> None:
        self._permits = burst
        self._refilled_at = now

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Add the permits for the time since the last call; `rate` is per second."""
        added = (now - self._refilled_at) * rate
        self._permits = min(burst, self._permits + added)
        self._refilled_at = now

    def consume(self) -> None:
        """Consume one permit."""
        self._permits -= 1

    def seconds_until_available(self, rate: float) -> float:
        """Return the seconds from the last refill to the next permit."""
        return max(0.0, (1 - self._permits) / rate)
