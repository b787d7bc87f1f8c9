"""How often gateways report to each other, and when a peer counts as silent.

The traffic that a gateway sends is bounded whatever the number of its peers: the more
peers, the fewer reports each of them gets.
"""

from __future__ import annotations

MIN_REPORT_INTERVAL_SECONDS = 0.1
"""Interval of regular reports to a peer in a small fleet."""
REPORTS_A_SECOND = 60.0
"""Regular reports that one gateway sends to all peers together. Changes that affect the
placements of peers are sent at once, without waiting for the next report."""
MIN_PEER_TIMEOUT_SECONDS = 2.0
"""A peer that sent no report for this long doesn't count as live."""
MISSED_REPORTS_BEFORE_TIMEOUT = 4.0
"""In a large fleet, consecutive reports that must be missing before a peer is silent:
single reports get lost, and a peer whose share of the budgets is dropped too early is
counted twice when it returns."""


MIN_TRIGGERED_INTERVAL_SECONDS = 0.012
"""Changes within this time are sent together."""
MAX_TRIGGERED_REPORTS_PER_SECOND = 1_200.0
"""Reports that one gateway sends to all peers because of failures: without a bound,
each of many simultaneous failures would cost a datagram to every other gateway."""
EXPECTED_FORWARDERS = 12.0
"""Mean number of gateways that forward a departure or crash report they received: a few
senders make up for lost reports. If all gateways forwarded it, each departure would
cost a datagram for every pair of gateways."""


def report_interval(peers: int) -> float:
    """Return the seconds between regular reports to each of `peers` peers."""
    return max(MIN_REPORT_INTERVAL_SECONDS, peers / REPORTS_A_SECOND)


def triggered_report_interval(peers: int) -> float:
    """Return the minimum seconds between reports that failures trigger."""
    return max(MIN_TRIGGERED_INTERVAL_SECONDS, peers / MAX_TRIGGERED_REPORTS_PER_SECOND)


def should_forward(peers: int, draw: float) -> bool:
    """Return whether to forward a received departure or crash report.

    `draw` is a random number, at least 0 and below 1.
    """
    return draw * peers < EXPECTED_FORWARDERS


def peer_timeout(peers: int) -> float:
    """Return the seconds without a report after which a peer counts as silent."""
    return max(
        MIN_PEER_TIMEOUT_SECONDS, MISSED_REPORTS_BEFORE_TIMEOUT * report_interval(peers)
    )
