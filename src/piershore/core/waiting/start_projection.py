"""The earliest time at which memory is free for one generation in the order."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf
from typing import NamedTuple

from piershore.core.waiting.memory_forecast import MemoryForecast


class Reservation(NamedTuple):
    """Memory that is reserved from a time on, in seconds from now."""

    opens_in: float
    tokens: int


def seconds_until_start(
    forecast: MemoryForecast,
    tokens: int,
    tokens_before: float,
    reservations: Sequence[Reservation],
) -> float:
    """Return when a generation may take memory without delaying others; inf if never.

    `tokens_before` are needed before it. From then on each reservation must still find
    its memory at its time.
    """
    needed = tokens_before + tokens
    opens, start = 0.0, 0.0
    for reservation in sorted(reservations):
        start = _latest_shortage(start, opens, reservation.opens_in, needed, forecast)
        needed += reservation.tokens
        opens = max(opens, reservation.opens_in)
    return _latest_shortage(start, opens, inf, needed, forecast)


def _latest_shortage(
    start: float, opens: float, ends: float, needed: float, forecast: MemoryForecast
) -> float:
    """Return the end of the shortage between two reservations, or `start` if none."""
    enough_at = forecast.seconds_until(needed)
    return min(enough_at, ends) if enough_at > opens else start
