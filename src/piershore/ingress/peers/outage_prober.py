"""Probes engines for their departure while no gateway can read the store.

An engine announces in the store that it leaves, about 2 s before it ends. During an
outage of the store for all gateways, its streams would be lost without a warning. So
each engine with work is probed by one gateway, which informs the others.
"""

from __future__ import annotations

from collections.abc import Iterator

import trio

from piershore.core.configuration.relays import rendezvous_order
from piershore.core.fleet.endpoint import Endpoint
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.ingress.followers.endpoint_follower import EndpointFollower
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.peers.peer_link import PeerLink
from piershore.ingress.ports import EndpointProber

PROBE_INTERVAL_SECONDS = 0.25
"""Interval between probes of one engine: a report is about 0.5 s old, an engine ends
1.5 to 2.1 s after its notice, and each probe has a cost."""
REPORT_TIMEOUT_SECONDS = 0.4
"""Timeout for a report; the next probe follows soon."""
MAX_IDLE_SECONDS = 2.0


class OutageProber:
    """Probes the engines that this gateway is responsible for."""

    def __init__(
        self,
        state: GatewayState,
        host: str,
        prober: EndpointProber,
        endpoints: EndpointFollower,
        peers: PeerLink,
    ) -> None:
        self._state = state
        self._host = host
        self._prober = prober
        self._endpoints = endpoints
        self._peers = peers

    def is_store_down(self) -> bool:
        """Return whether no gateway can learn from the store that an engine leaves."""
        if self._peers.store_seems_silent():
            return True
        return (
            self._endpoints.health.is_out and not self._peers.has_peer_reading_store()
        )

    async def run(self) -> None:
        """Probe periodically while the store is down for all; run until cancelled."""
        while True:
            await trio.sleep(PROBE_INTERVAL_SECONDS)
            if not self.is_store_down():
                continue
            async with trio.open_nursery() as nursery:
                for endpoint in list(self._endpoints_to_probe()):
                    nursery.start_soon(self._probe, endpoint)

    def _endpoints_to_probe(self) -> Iterator[Endpoint]:
        hosts = [self._host, *self._peers.living_hosts()]
        for endpoint in self._state.directory:
            spec = self._state.configuration.service(endpoint.service)
            if spec is None or spec.engine is None or not spec.engine.can_move:
                continue
            if self._state.directory.is_leaving(endpoint.identity):
                continue
            if self._state.directory.is_drained(endpoint):
                continue
            has_work = self._state.fleet_load.at(endpoint.identity).requests > 0
            prober_host = rendezvous_order(f"ask/{endpoint.identity}", hosts)[0]
            if has_work and prober_host == self._host:
                yield endpoint

    async def _probe(self, endpoint: Endpoint) -> None:
        with trio.move_on_after(REPORT_TIMEOUT_SECONDS):
            try:
                async with self._state.pool.borrow(
                    endpoint, MAX_IDLE_SECONDS
                ) as connection:
                    report = await self._prober.probe(connection, endpoint.address)
            except (ExchangeBrokenError, NotConnectedError):
                # Other faults of the endpoint show up in its traffic.
                return
            self._state.notices.receive_report(endpoint, report)
