"""Parses the header by which an answer says when to retry (RFC 9110, 10.2.3)."""

from __future__ import annotations

from collections.abc import Iterable
from math import isfinite

RETRY_AFTER = "retry-after"


def longest_backoff(values: Iterable[str]) -> float | None:
    """Return the longest of the requested backoffs, in seconds; None if there is none.

    Fractions are valid. Dates, other texts, zero and negative numbers are ignored.
    """
    seconds = (_seconds(value) for value in values)
    return max((s for s in seconds if s is not None), default=None)


def _seconds(value: str) -> float | None:
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if isfinite(seconds) and seconds > 0 else None
