"""Parses headers by which an answer advertises a rate limit."""

from __future__ import annotations

from collections.abc import Iterable
from math import isfinite

RATE_LIMIT = "ratelimit-limit"
"""Header by which an endpoint with piershore's own interface advertises its limit."""


def lowest_rate(values: Iterable[str]) -> float | None:
    """Return the lowest of the given rates; None if none is valid.

    A value may be a comma-separated list. A rate is a decimal number of requests per
    second, and may be 0.
    """
    rates = (_rate(item) for value in values for item in value.split(","))
    return min((rate for rate in rates if rate is not None), default=None)


def _rate(text: str) -> float | None:
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if isfinite(rate) and rate >= 0 and "_" not in text else None
