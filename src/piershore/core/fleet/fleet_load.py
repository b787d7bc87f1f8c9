"""The load of each endpoint: this gateway's work and the loads that peers report."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

from piershore.core.fleet.endpoint_load import EndpointLoad, NO_LOAD


class Work(Protocol):
    """Anything in flight that loads an endpoint."""

    def load(self) -> EndpointLoad:
        """Return its contribution to the endpoint's load."""


class PlainWork:
    """A request in flight at a plain service."""

    _LOAD = EndpointLoad(requests=1)

    def load(self) -> EndpointLoad:
        """Return the load of one request."""
        return self._LOAD


class BackupWork:
    """A backup of a generation's memory on another endpoint."""

    def __init__(self, work: Work) -> None:
        self._work = work

    def load(self) -> EndpointLoad:
        """Return the memory of the backup, now and at the expected end."""
        load = self._work.load()
        return EndpointLoad(
            held_tokens=load.held_tokens, projected_tokens=load.projected_tokens
        )


class MoveTargetWork:
    """The batch slot and memory that a moving generation reserves at its target."""

    def __init__(self, work: Work) -> None:
        self._work = work

    def load(self) -> EndpointLoad:
        """Return the load that the generation will add to the target."""
        return self._work.load()


class DepartingWork:
    """The memory that a generation will not need at its endpoint, since it moves away.

    It counts until the generation runs elsewhere, so that peers don't relieve an
    endpoint that a move relieves already. The memory in use isn't free before that.
    """

    def __init__(self, work: Work, is_at_source: Callable[[], bool]) -> None:
        self._work = work
        self._is_at_source = is_at_source

    def load(self) -> EndpointLoad:
        """Return the projected memory, negative, until the generation has moved."""
        if not self._is_at_source():
            return NO_LOAD
        return EndpointLoad(projected_tokens=-self._work.load().projected_tokens)


class FleetLoad:
    """This gateway's work by endpoint, and the loads that its peers report.

    The sums over peers are updated with each report: a placement looks up the load of
    every endpoint, and must not iterate over all peers for each of them.
    """

    def __init__(self) -> None:
        self._own: dict[str, dict[int, Work]] = {}
        self._peers: dict[str, tuple[float, dict[str, EndpointLoad]]] = {}
        self._peer_sums: dict[str, EndpointLoad] = {}

    def add(self, identity: str, work: Work) -> None:
        """Add work at an endpoint."""
        self._own.setdefault(identity, {})[id(work)] = work

    def remove(self, identity: str, work: Work) -> None:
        """Remove work from an endpoint; ignore work that isn't there."""
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

    def apply_report(
        self, peer: str, loads: Mapping[str, EndpointLoad], now: float
    ) -> None:
        """Replace all loads that a peer reported."""
        self._forget(peer)
        self._peers[peer] = (now, dict(loads))
        for identity, load in loads.items():
            self._add_to_sum(identity, load)

    def apply_update(self, peer: str, identity: str, load: EndpointLoad) -> None:
        """Replace a peer's load at one endpoint, until its next report."""
        if peer not in self._peers:
            return
        _, loads = self._peers[peer]
        change = load - loads.get(identity, NO_LOAD)
        loads[identity] = load
        self._add_to_sum(identity, change)

    def forget_peers(self, received_before: float) -> None:
        """Drop reports received before a time: their requests have ended since."""
        stale = [peer for peer, (at, _) in self._peers.items() if at < received_before]
        for peer in stale:
            self._forget(peer)

    def view_age(self, now: float) -> float:
        """Return the age of the oldest peer report in use, in seconds."""
        return max((now - at for at, _ in self._peers.values()), default=0.0)

    def at(self, identity: str) -> EndpointLoad:
        """Return the known load of one endpoint, over all gateways."""
        peers = self._peer_sums.get(identity, NO_LOAD)
        return peers + self.own(identity) if identity in self._own else peers

    def peers_at(self, identity: str) -> Iterator[str]:
        """Yield the peers that reported requests at an endpoint."""
        for peer, (_, loads) in self._peers.items():
            if loads.get(identity, NO_LOAD).requests > 0:
                yield peer

    def _forget(self, peer: str) -> None:
        _, loads = self._peers.pop(peer, (0.0, {}))
        for identity, load in loads.items():
            self._add_to_sum(identity, NO_LOAD - load)

    def _add_to_sum(self, identity: str, load: EndpointLoad) -> None:
        total = self._peer_sums.pop(identity, NO_LOAD) + load
        if total != NO_LOAD:
            self._peer_sums[identity] = total
