"""A token bucket; times are in seconds."""

from __future__ import annotations


class TokenBucket:
    """Permits that come at a rate, and of which at most `burst` are kept."""

    def __init__(self, burst: float, now: float) -> None:
        self._saved = burst
        self._filled_at = now

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Add the permits of the time since the last call."""
        gained = (now - self._filled_at) * rate
        self._saved = min(burst, self._saved + gained)
        self._filled_at = now

    def take(self) -> None:
        """Use one permit."""
        self._saved -= 1

    def seconds_left(self, rate: float) -> float:
        """Return when the next permit is there, as of the last refill."""
        return max(0.0, (1 - self._saved) / rate)
