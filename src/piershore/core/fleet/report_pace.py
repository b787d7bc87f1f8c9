"""How often gateways report to each other, and when one that doesn't is silent.

What a gateway sends is bounded whatever the number of its peers: rates fall with them.
"""

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


SHORTEST_GAP_SECONDS = 0.012
"""Changes that come closer are told together."""
NEWS_A_SECOND = 1_200.0
"""Reports at most that one gateway sends in all since endpoints fail there: without a
bound each failure of a herd would cost a datagram to each other gateway."""
PASSED_ON_BY = 12.0
"""Gateways that pass a departure on when they hear of it: reports get lost, and a few
more senders than one make up for it; if all passed it on, each departure would cost a
datagram for each pair of gateways."""


def report_interval(peers: int) -> float:
    """Return the seconds between regular reports to each of `peers` peers."""
    return max(SHORTEST_INTERVAL_SECONDS, peers / REPORTS_A_SECOND)


def news_gap(peers: int) -> float:
    """Return the least seconds between reports that only tell of failures."""
    return max(SHORTEST_GAP_SECONDS, peers / NEWS_A_SECOND)


def passes_on(peers: int, draw: float) -> bool:
    """Tell whether this gateway passes a departure on; `draw` is below 1, at random."""
    return draw * peers < PASSED_ON_BY


def silent_after(peers: int) -> float:
    """Return the seconds after which a peer that was not heard is silent."""
    return max(SHORTEST_SILENCE_SECONDS, MISSED_REPORTS * report_interval(peers))
