"""The load of each endpoint: own work and what peers tell of theirs."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from piershore.core.fleet.endpoint_load import EndpointLoad, NO_LOAD


class Work(Protocol):
    """Something in flight at an endpoint."""

    def load(self) -> EndpointLoad:
        """Return its part of the endpoint's load."""


class PlainWork:
    """A request in flight at a plain service."""

    _LOAD = EndpointLoad(requests=1)

    def load(self) -> EndpointLoad:
        """Return one request."""
        return self._LOAD


class BackupWork:
    """The copy of a generation's memory that a backup holds."""

    def __init__(self, work: Work) -> None:
        self._work = work

    def load(self) -> EndpointLoad:
        """Return the memory that the copy takes, now and at the expected end."""
        load = self._work.load()
        return EndpointLoad(
            held_tokens=load.held_tokens, projected_tokens=load.projected_tokens
        )


class CopyWork:
    """The place and the memory that a generation takes where it will go on."""

    def __init__(self, work: Work) -> None:
        self._work = work

    def load(self) -> EndpointLoad:
        """Return the load that the generation will be there."""
        return self._work.load()


class FleetLoad:
    """Own work by endpoint and the loads that peers report.

    The peers' sums are kept up with each report: a choice looks at all endpoints, and
    must not look at all peers for each of them.
    """

    def __init__(self) -> None:
        self._own: dict[str, dict[int, Work]] = {}
        self._peers: dict[str, tuple[float, dict[str, EndpointLoad]]] = {}
        self._peer_sums: dict[str, EndpointLoad] = {}

    def add(self, identity: str, work: Work) -> None:
        """Count work in at an endpoint."""
        self._own.setdefault(identity, {})[id(work)] = work

    def remove(self, identity: str, work: Work) -> None:
        """Count work out."""
        works = self._own.get(identity)
        if works is None:
            return
        works.pop(id(work), None)
        if not works:
            del self._own[identity]

    def own_loads(self) -> dict[str, EndpointLoad]:
        """Return this gateway's load at each endpoint where it has work."""
        return {identity: self.own(identity) for identity in self._own}

    def own(self, identity: str) -> EndpointLoad:
        """Return this gateway's load at one endpoint."""
        works = self._own.get(identity)
        if not works:
            return NO_LOAD
        return sum((work.load() for work in works.values()), NO_LOAD)

    def take_report(
        self, peer: str, loads: Mapping[str, EndpointLoad], now: float
    ) -> None:
        """Replace what a peer has reported."""
        self._forget(peer)
        self._peers[peer] = (now, dict(loads))
        for identity, load in loads.items():
            self._add_to_sum(identity, load)

    def take_part(self, peer: str, identity: str, load: EndpointLoad) -> None:
        """Replace what a peer has reported of one endpoint, until its next report."""
        if peer not in self._peers:
            return
        _, loads = self._peers[peer]
        change = load - loads.get(identity, NO_LOAD)
        loads[identity] = load
        self._add_to_sum(identity, change)

    def forget_peers(self, heard_before: float) -> None:
        """Drop reports older than a time: their requests have ended by now."""
        old = [peer for peer, (at, _) in self._peers.items() if at < heard_before]
        for peer in old:
            self._forget(peer)

    def view_age(self, now: float) -> float:
        """Return the age of the oldest peer's report that counts, in seconds."""
        return max((now - at for at, _ in self._peers.values()), default=0.0)

    def at(self, identity: str) -> EndpointLoad:
        """Return the load of one endpoint as far as it is known."""
        peers = self._peer_sums.get(identity, NO_LOAD)
        return peers + self.own(identity) if identity in self._own else peers

    def _forget(self, peer: str) -> None:
        _, loads = self._peers.pop(peer, (0.0, {}))
        for identity, load in loads.items():
            self._add_to_sum(identity, NO_LOAD - load)

    def _add_to_sum(self, identity: str, load: EndpointLoad) -> None:
        total = self._peer_sums.pop(identity, NO_LOAD) + load
        if total != NO_LOAD:
            self._peer_sums[identity] = total
