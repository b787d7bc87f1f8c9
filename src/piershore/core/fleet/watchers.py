"""Which gateways watch the platform's store, and which hear from those.

Each change wakes each watch, and each call has a price: with all gateways watching
it grows as gateways times changes. Two in each data hall watch; the others hear of
changes by datagram and read lists from a peer. With no watcher heard that reads the
store, a gateway watches by itself.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from piershore.core.configuration.relays import relays_of, rendezvous_order

LEAST_WATCHERS = 2
"""Watchers heard of that make an own watch needless."""
FIRST_WATCHERS = 2
"""Watchers of the whole fleet that take each change of endpoints at once."""
SMALL_FLEET = 6
"""Gateways up to which all watchers do: there a change wakes few."""


@dataclass(frozen=True)
class WatcherView:
    """A living gateway; `reads_store` if its own watch is answered."""

    host: str
    data_hall: str
    reads_store: bool


def watches_store(host: str, data_hall: str, peers: Iterable[WatcherView]) -> bool:
    """Tell whether the gateway `host` should watch the store by itself."""
    peers = list(peers)
    relays = _relays(host, data_hall, peers)
    if host in relays:
        return True
    heard = sum(peer.reads_store for peer in peers if peer.host in relays)
    return heard < LEAST_WATCHERS


def takes_changes_at_once(
    host: str, data_hall: str, peers: Iterable[WatcherView]
) -> bool:
    """Tell whether the watcher `host` takes each change of endpoints at once.

    The others hear by datagram what can't wait, that an endpoint leaves, and take
    changes together: each wakes six watchers, and each call has a price.
    """
    peers = list(peers)
    if len(peers) < SMALL_FLEET:
        return True
    relays = _relays(host, data_hall, peers)
    first = rendezvous_order("endpoints", relays)[:FIRST_WATCHERS]
    readers = {peer.host for peer in peers if peer.reads_store}
    return host in first or host not in relays or not readers.issuperset(first)


def _relays(host: str, data_hall: str, peers: Iterable[WatcherView]) -> set[str]:
    hosts: dict[str, list[str]] = {data_hall: [host]}
    for peer in peers:
        hosts.setdefault(peer.data_hall, []).append(peer.host)
    return {h for hall, group in hosts.items() for h in relays_of(hall, group)}
