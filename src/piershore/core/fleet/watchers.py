"""Selects the gateways that watch the platform's store on behalf of the others.

Each change wakes each watch and each call to the store has a cost, so with all gateways
watching, the cost grows with gateways times changes. Two gateways in each data hall
watch; the others get changes by datagram and read lists from a peer. A gateway that
hears of too few watchers with access to the store watches for itself. A store that is
silent to the watchers alone may serve it: so they wait for changes only briefly at a
time, notice soon that an answer is overdue, and say so at once.

Gateways with fast links are preferred, since the store sends the whole configuration
with each change. A configuration of 4,248 routes reached gateways on links of
100 Mbit/s in 0.3 s, and those on 5 Mbit/s in 2.2 s (one simulated day).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from piershore.core.configuration.relays import relays_of
from piershore.core.fleet.report_timing import report_interval

MIN_WATCHERS = 2
"""Watchers with access to the store that make a gateway's own watch unnecessary."""
MIN_REPORT_AGE_SECONDS = 1.0
"""Ten reports in a small fleet. Half of the shortest bound for a change to be in force:
the rest is needed to read it from the store."""
MISSED_WATCHER_REPORTS = 2.5
PREFERRED_BANDWIDTH_SHARE = 0.5
"""Links with at least this share of the fastest link's bandwidth in the data hall are
preferred."""


@dataclass(frozen=True)
class WatchCandidate:
    """A living gateway; `reads_store` if the store answers its own watch."""

    host: str
    data_hall: str
    reads_store: bool
    link_megabits: float


def should_watch_store(own: WatchCandidate, peers: Iterable[WatchCandidate]) -> bool:
    """Return whether the gateway `own` should watch the store itself."""
    peers = list(peers)
    relays = _all_relays((own, *peers))
    if own.host in relays:
        return True
    watchers = sum(peer.reads_store for peer in peers if peer.host in relays)
    return watchers < MIN_WATCHERS


def is_relied_on(own: WatchCandidate, peers: Iterable[WatchCandidate]) -> bool:
    """Return whether the gateway `own` watches for others, which don't watch."""
    gateways = (own, *peers)
    relays = _all_relays(gateways)
    return own.host in relays and len(relays) < len(gateways)


def max_watcher_report_age(peers: int) -> float:
    """Return how old a watcher's last report may be, in seconds.

    A watcher reports at once that the store is silent. One that reports nothing may
    have ended; single reports get lost.
    """
    return max(MIN_REPORT_AGE_SECONDS, MISSED_WATCHER_REPORTS * report_interval(peers))


def _all_relays(gateways: Iterable[WatchCandidate]) -> set[str]:
    by_data_hall: dict[str, list[WatchCandidate]] = {}
    for gateway in gateways:
        by_data_hall.setdefault(gateway.data_hall, []).append(gateway)
    return {
        host
        for data_hall, group in by_data_hall.items()
        for host in _relays(data_hall, group)
    }


def _relays(data_hall: str, gateways: list[WatchCandidate]) -> list[str]:
    fastest = max(gateway.link_megabits for gateway in gateways)
    preferred = {
        g.host
        for g in gateways
        if g.link_megabits >= PREFERRED_BANDWIDTH_SHARE * fastest
    }
    return relays_of(data_hall, (g.host for g in gateways), preferred=preferred)
