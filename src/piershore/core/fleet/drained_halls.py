"""The data halls whose endpoints are to get nothing new."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class DrainedHalls:
    """What operators ask for, as the store had it at a revision.

    Of two views the one with the higher revision holds, whoever told it: a drain and
    its end may be heard of in any order.
    """

    revision: int
    data_halls: frozenset[str]
