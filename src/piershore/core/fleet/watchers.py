"""Which gateways watch the platform's store, and which hear from those.

Each change wakes each watch, and each call has a price: with all gateways watching
it grows as gateways times changes. Two in each data hall watch; the others hear of
changes by datagram and read lists from a peer. With no watcher heard that reads the
store, a gateway watches by itself.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from piershore.core.configuration.relays import relays_of

LEAST_WATCHERS = 2
"""Watchers heard of that make an own watch needless."""


@dataclass(frozen=True)
class WatcherView:
    """A living gateway; `reads_store` if its own watch is answered."""

    host: str
    data_hall: str
    reads_store: bool


def watches_store(host: str, data_hall: str, peers: Iterable[WatcherView]) -> bool:
    """Tell whether the gateway `host` should watch the store by itself."""
    peers = list(peers)
    hosts: dict[str, list[str]] = {data_hall: [host]}
    for peer in peers:
        hosts.setdefault(peer.data_hall, []).append(peer.host)
    relays = {h for hall, group in hosts.items() for h in relays_of(hall, group)}
    if host in relays:
        return True
    heard = sum(peer.reads_store for peer in peers if peer.host in relays)
    return heard < LEAST_WATCHERS
