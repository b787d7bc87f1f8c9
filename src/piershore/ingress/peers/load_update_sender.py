"""Sends load updates to the peers that choose from the same endpoints."""

from __future__ import annotations

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.load_update import LoadUpdate
from piershore.core.fleet.report_timing import MIN_TRIGGERED_INTERVAL_SECONDS
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.peers.peer_link import PeerLink
from piershore.telemetry import ingress_metrics


class LoadUpdateSender:
    """Sends updates of this gateway's load at endpoints that got new work."""

    def __init__(self, state: GatewayState, link: PeerLink) -> None:
        self._state = state
        self._link = link
        self._changed: dict[str, Endpoint] = {}
        self._wake = trio.Event()

    def schedule_update(self, endpoint: Endpoint) -> None:
        """Send this gateway's load at an endpoint soon."""
        self._changed[endpoint.identity] = endpoint
        self._wake.set()

    async def run(self) -> None:
        """Send updates until cancelled.

        Requests that start at one endpoint at about the same time share one update.
        """
        while True:
            await self._wake.wait()
            await trio.sleep(MIN_TRIGGERED_INTERVAL_SECONDS)
            self._wake = trio.Event()
            changed, self._changed = self._changed, {}
            for endpoint in changed.values():
                await self._send_update(endpoint)

    async def _send_update(self, endpoint: Endpoint) -> None:
        update = LoadUpdate(
            self._link.host,
            self._link.incarnation,
            self._link.next_number(),
            endpoint.identity,
            self._state.fleet_load.own(endpoint.identity),
        )
        data = update.encode()
        # The set of live peers may change while a datagram is sent.
        for host in tuple(self._state.subsets.sharing_peers(endpoint)):
            ingress_metrics.LOAD_UPDATES.inc()
            await self._link.send_to(host, data)
