"""Headers in which an answer names a rate of requests."""

from __future__ import annotations

from collections.abc import Iterable
from math import isfinite

RATE_LIMIT = "ratelimit-limit"
"""Header by which an endpoint of the product's own interface names its rate."""


def lowest_rate(values: Iterable[str]) -> float | None:
    """Return the lowest of the rates that are given, or None if none can be read.

    Values may be lists. A rate is a decimal number of requests a second, 0 included.
    """
    rates = (_rate(item) for value in values for item in value.split(","))
    return min((rate for rate in rates if rate is not None), default=None)


def _rate(text: str) -> float | None:
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if isfinite(rate) and rate >= 0 and "_" not in text else None
