"""A gateway's share of the retries that all gateways may make together."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True)
class RetryLimits:
    """In any `window` seconds: `ratio` of the requests and `slack` more.

    `safety` is the part of it that is used: gateways estimate each other.
    """

    ratio: float
    slack: float
    window: float
    safety: float = 0.6


class RetryAllowance:
    """Counts first attempts and further ones of one service over a window."""

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._requests.append(now)
        self._forget(now)

    def spend(self, now: float, gateways: int) -> bool:
        """Take one retry if there is one left; `gateways` share the slack."""
        if self.left(now, gateways) < 1:
            return False
        self._retries.append(now)
        return True

    def left(self, now: float, gateways: int) -> float:
        """Return how many retries may still be made in the present window."""
        self._forget(now)
        return max(0.0, self.allowed(gateways) - len(self._retries))

    def allowed(self, gateways: int) -> float:
        """Return how many retries this gateway may make in a window."""
        share = self._limits.slack / max(1, gateways)
        total = self._limits.ratio * len(self._requests) + share
        return max(1.0, self._limits.safety * total)

    def _forget(self, now: float) -> None:
        start = now - self._limits.window
        for times in (self._requests, self._retries):
            while times and times[0] < start:
                times.popleft()
