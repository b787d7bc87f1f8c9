"""Retry budget: limits the retries of all gateways together to a share of requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True)
class RetryLimits:
    """Allows `ratio` retries a request, and `slack` more, in any `window` seconds.

    Only the share `safety` of that is used, since gateways estimate how many others
    there are.
    """

    ratio: float
    slack: float
    window: float
    safety: float = 0.6


class RetryBudget:
    """Counts the requests and retries of one service within a window."""

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Record the first attempt of a request."""
        self._requests.append(now)
        self._drop_expired(now)

    def spend(self, now: float, gateways: int) -> bool:
        """Use one retry if one remains; `gateways` share the slack."""
        if self.remaining(now, gateways) < 1:
            return False
        self._retries.append(now)
        return True

    def remaining(self, now: float, gateways: int) -> float:
        """Return how many retries remain in the current window."""
        self._drop_expired(now)
        return max(0.0, self.allowed(gateways) - len(self._retries))

    def allowed(self, gateways: int) -> float:
        """Return how many retries this gateway may make within the window."""
        share = self._limits.slack / max(1, gateways)
        total = self._limits.ratio * len(self._requests) + share
        return max(1.0, self._limits.safety * total)

    def _drop_expired(self, now: float) -> None:
        start = now - self._limits.window
        for times in (self._requests, self._retries):
            while times and times[0] < start:
                times.popleft()
