"""How often gateways report to each other, and when one that doesn't is silent."""

from __future__ import annotations

SHORTEST_INTERVAL_SECONDS = 0.1
"""Time between regular reports to a peer in a small fleet."""
REPORTS_A_SECOND = 60.0
"""Regular reports that one gateway sends in all; with more peers each gets fewer.
What changes a peer's choice is told at once."""
SHORTEST_SILENCE_SECONDS = 2.0
"""A peer that was not heard for so long is not counted as living."""
MISSED_REPORTS = 4.0
"""In a large fleet, reports that are missing in a row before a peer is silent: some
are lost now and then, and a peer whose share of the budgets is dropped too early is
counted twice when it is back."""


MOST_OF_SMALL_FLEET = 60
"""Peers up to which all tell all of everything. In a larger fleet two gateways seldom
choose the same endpoint between two reports, and telling all would cost each gateway a
datagram for each start anywhere."""


def is_small_fleet(peers: int) -> bool:
    """Tell whether peers hear of each start at once, and pass departures on."""
    return peers <= MOST_OF_SMALL_FLEET


def report_interval(peers: int) -> float:
    """Return the seconds between regular reports to each of `peers` peers."""
    return max(SHORTEST_INTERVAL_SECONDS, peers / REPORTS_A_SECOND)


def silent_after(peers: int) -> float:
    """Return the seconds after which a peer that was not heard is silent."""
    return max(SHORTEST_SILENCE_SECONDS, MISSED_REPORTS * report_interval(peers))
