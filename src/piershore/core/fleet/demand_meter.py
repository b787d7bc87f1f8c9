"""Rates of recent requests by service."""

from __future__ import annotations

from math import exp

AVERAGING_SECONDS = 1.5
"""Time constant: after twice as long, a rate that has changed is known."""


class DemandMeter:
    """Exponentially weighted rates of requests, in requests a second."""

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}

    def record(self, service: str, now: float) -> None:
        """Record a request."""
        rate = self.rate(service, now) + 1 / AVERAGING_SECONDS
        self._rates[service] = (now, rate)

    def rate(self, service: str, now: float) -> float:
        """Return the present rate of requests."""
        at, rate = self._rates.get(service, (now, 0.0))
        return rate * exp((at - now) / AVERAGING_SECONDS)
