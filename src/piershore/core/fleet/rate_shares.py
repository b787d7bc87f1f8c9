"""This gateway's part of what an endpoint takes from all gateways together.

The parts are whole requests: all gateways work them out alike from who they know, and
they add up to what the endpoint takes, also when there are more gateways than requests.
A part whose gateway has died is not used until the others have missed it.
"""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.configuration.relays import rendezvous_order
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.subsetting import EndpointSubsets
from piershore.core.routes.current_configuration import CurrentConfiguration


@dataclass(frozen=True)
class Share:
    """The place of this gateway among those that choose from an endpoint."""

    rank: int
    gateways: int

    def part(self, requests: int) -> int:
        """Return the whole requests that this gateway may send.

        The parts of all ranks add up to `requests`.
        """
        return requests // self.gateways + (self.rank < requests % self.gateways)


class RateShares:
    """The shares of this gateway, by endpoint."""

    def __init__(
        self,
        own_host: str,
        subsets: EndpointSubsets,
        configuration: CurrentConfiguration,
    ) -> None:
        self._own_host = own_host
        self._subsets = subsets
        self._configuration = configuration
        self._view = subsets.view, configuration.version
        self._known: dict[str, Share | None] = {}

    def __len__(self) -> int:
        """Return how many gateways there are."""
        return 1 + len(self._subsets.peers)

    def of(self, endpoint: Endpoint) -> Share | None:
        """Return the share in an endpoint, or None if this gateway has none."""
        view = self._subsets.view, self._configuration.version
        if self._view != view:
            self._view = view
            self._known.clear()
        if endpoint.identity not in self._known:
            self._known[endpoint.identity] = self._share(endpoint)
        return self._known[endpoint.identity]

    def _share(self, endpoint: Endpoint) -> Share | None:
        sharers = self._sharers(endpoint)
        if sharers is None:
            return None
        order = rendezvous_order(endpoint.identity, [self._own_host, *sharers])
        return Share(order.index(self._own_host), len(order))

    def _sharers(self, endpoint: Endpoint) -> list[str] | None:
        """Return the peers that choose from an endpoint; None if this one doesn't."""
        spec = self._configuration.service(endpoint.service)
        if spec is None or spec.engine is None:
            return self._subsets.peers
        if endpoint not in self._subsets.own(endpoint.service):
            return None
        return list(self._subsets.sharing_peers(endpoint))
