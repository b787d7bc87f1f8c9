"""The endpoints whose memory a gateway's generations compete for, and with whom."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.placement import MAX_COMPARED_ENDPOINTS
from piershore.core.fleet.subsetting import EndpointSubsets, SubsetView


class MemoryScope:
    """All endpoints and peers of a smaller service; of a larger one, those it shares.

    A generation that finds no memory in its gateway's subset is placed among all, or
    in a larger service among a random sample that isn't worth coordinating.
    """

    def __init__(self, directory: EndpointDirectory, subsets: EndpointSubsets) -> None:
        self._directory = directory
        self._subsets = subsets
        self._view: SubsetView | None = None
        self._shares: dict[str, dict[str, float]] = {}

    def endpoints(self, service: str) -> list[Endpoint]:
        """Return the endpoints whose memory counts."""
        listed = self._directory.of_service(service)
        if len(listed) <= MAX_COMPARED_ENDPOINTS:
            return listed
        return self._subsets.own(service)

    def shares(self, service: str) -> dict[str, float]:
        """Return the part of these endpoints that each peer chooses from, by host."""
        view = self._subsets.view
        if view != self._view:
            self._view, self._shares = view, {}
        if service not in self._shares:
            self._shares[service] = self._compute_shares(service)
        return self._shares[service]

    def share(self, service: str, host: str) -> float:
        """Return the part of these endpoints that one peer chooses from."""
        return self.shares(service).get(host, 0.0)

    def peers(self, services: Iterable[str]) -> list[str]:
        """Return the hosts that share endpoints of any of these services."""
        return sorted({host for name in services for host in self.shares(name)})

    def _compute_shares(self, service: str) -> dict[str, float]:
        listed = self._directory.of_service(service)
        if len(listed) <= MAX_COMPARED_ENDPOINTS:
            return dict.fromkeys(self._subsets.peers, 1.0)
        own = self._subsets.own(service)
        counts = Counter(
            host for endpoint in own for host in self._subsets.sharing_peers(endpoint)
        )
        return {host: count / len(own) for host, count in counts.items()}
