"""This gateway's share of the rate that an endpoint accepts from all gateways.

Quotas are whole requests. Each gateway computes its own from the same list of gateways,
and they add up to what the endpoint accepts, also when there are more gateways than
requests. The quota of a gateway that has died stays unused until its peers notice.
"""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.configuration.relays import rendezvous_order
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.subsetting import EndpointSubsets
from piershore.core.routes.current_configuration import CurrentConfiguration


@dataclass(frozen=True)
class Share:
    """The rank of this gateway among those whose subsets include an endpoint."""

    rank: int
    gateways: int

    def quota(self, requests: int) -> int:
        """Return how many of the requests this gateway may send.

        The quotas of all ranks add up to `requests`.
        """
        return requests // self.gateways + (self.rank < requests % self.gateways)


class RateShares:
    """Shares of this gateway by endpoint, computed again when the fleet changes."""

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
        self._shares: dict[str, Share | None] = {}

    def __len__(self) -> int:
        """Return the number of gateways, this one included."""
        return 1 + len(self._subsets.peers)

    def of(self, endpoint: Endpoint) -> Share | None:
        """Return the share of an endpoint, or None if this gateway has none."""
        view = self._subsets.view, self._configuration.version
        if self._view != view:
            self._view = view
            self._shares.clear()
        if endpoint.identity not in self._shares:
            self._shares[endpoint.identity] = self._share(endpoint)
        return self._shares[endpoint.identity]

    def peers(self, endpoint: Endpoint) -> list[str]:
        """Return the hosts of the peers that share an endpoint's rate."""
        return list(self._sharing_peers(endpoint) or ())

    def _share(self, endpoint: Endpoint) -> Share | None:
        peers = self._sharing_peers(endpoint)
        if peers is None:
            return None
        order = rendezvous_order(endpoint.identity, [self._own_host, *peers])
        return Share(order.index(self._own_host), len(order))

    def _sharing_peers(self, endpoint: Endpoint) -> list[str] | None:
        """Return the peers whose subsets include an endpoint.

        None if this gateway's subset doesn't. Only engines are placed by subsets.
        """
        spec = self._configuration.service(endpoint.service)
        if spec is None or spec.engine is None:
            return self._subsets.peers
        if endpoint not in self._subsets.own(endpoint.service):
            return None
        return list(self._subsets.sharing_peers(endpoint))
