"""What a report says of the generations that wait for one service."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from piershore.core.waiting.waiter import Rank, Waiter
from piershore.core.waiting.waiting_report import (
    MAX_GROUPS,
    MAX_LEVEL,
    MAX_LISTED,
    MAX_SECONDS,
    ReportedGroup,
    ReportedWaiter,
    ServiceWaiting,
    TIME_DIGITS,
)


def summarize(ranked: Sequence[tuple[Rank, Waiter]], now: float) -> ServiceWaiting:
    """Return the first in the order one by one, and sums of the others by rank."""
    ordered = sorted(ranked, key=lambda pair: pair[0])
    return ServiceWaiting(
        tuple(
            ReportedWaiter(
                min(rank.level, MAX_LEVEL),
                rank.is_newcomer,
                rank.is_late,
                reported_seconds(now - waiter.arrived),
                waiter.tokens,
            )
            for rank, waiter in ordered[:MAX_LISTED]
        ),
        tuple(_groups(ordered[MAX_LISTED:]))[:MAX_GROUPS],
    )


def reported_seconds(seconds: float) -> float:
    """Return a duration within the bounds of a report."""
    return round(min(max(0.0, seconds), MAX_SECONDS), TIME_DIGITS)


def _groups(ordered: Sequence[tuple[Rank, Waiter]]) -> Iterator[ReportedGroup]:
    sums: dict[tuple[int, bool, bool], int] = {}
    for rank, waiter in ordered:
        sums[rank.group] = sums.get(rank.group, 0) + waiter.tokens
    for (level, is_newcomer, is_late), tokens in sums.items():
        yield ReportedGroup(min(level, MAX_LEVEL), is_newcomer, is_late, tokens)
