"""When refused callers come back to places that are given out at a rate.

The load pattern: all endpoints of a service take fewer requests than come. Callers that
are all told when the next place is free come back together, and all but one of them are
refused again. So each is told of a place of its own, after those that others were told
of before.
"""

from __future__ import annotations

from math import isinf

LONGEST_SECONDS = 30.0
"""Latest time that a caller is told: a rate rarely stays so low for longer."""


class ReturnSchedule:
    """Gives out the places of one service; times are in seconds."""

    def __init__(self) -> None:
        self._last_place = float("-inf")

    def book(self, first: float, rate: float, now: float) -> float:
        """Return in how many seconds the next place is free that nobody was told of.

        `first` is when the first place is free, inf if that isn't known, and `rate`
        places a second follow.
        """
        gap = 1 / rate
        first = gap if isinf(first) else first
        place = min(max(now + first, self._last_place + gap), now + LONGEST_SECONDS)
        self._last_place = place
        return place - now
