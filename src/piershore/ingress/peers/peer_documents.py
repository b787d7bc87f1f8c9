"""Exchange of documents between gateways: each catches up from a peer."""

from __future__ import annotations

from collections.abc import Iterable

import trio

from piershore.core.fleet.peer_table import Peer
from piershore.ingress.followers.configuration_follower import ConfigurationFollower
from piershore.ingress.followers.endpoint_follower import EndpointFollower
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.peers.document_reader import DocumentReader
from piershore.ingress.peers.document_server import DocumentServer
from piershore.ingress.peers.endpoint_document import EndpointDocument, read_endpoints
from piershore.ingress.peers.peer_link import PeerLink
from piershore.settings.box_settings import BoxSettings
from piershore.telemetry.events import InvalidEntry

CONFIGURATION_PATH = b"/configuration"
ENDPOINTS_PATH = b"/endpoints"
MAX_LAG_SECONDS = 0.12
"""How long the configuration may lag behind a peer's before it is read from there: a
change reaches all watches within a few tens of ms."""
MAX_DIFFERENCE_SECONDS = 0.5
CHECK_INTERVAL_SECONDS = 0.1
PAUSE_AFTER_REPAIR_SECONDS = 0.6
MIN_LINK_MEGABITS = 1.0
"""Minimum weight of a peer in the choice of one, in Mbit/s of its link."""


class PeerDocuments:
    """Serves this gateway's documents to peers, and reads theirs when behind."""

    def __init__(
        self,
        state: GatewayState,
        settings: BoxSettings,
        link: PeerLink,
        configuration: ConfigurationFollower,
        endpoints: EndpointFollower,
    ) -> None:
        self._state = state
        self._host = settings.host
        self._link = link
        self._configuration = configuration
        self._endpoints = endpoints
        self._own_endpoints = EndpointDocument(state.directory)
        port, log = settings.peer_ports[0], state.log
        self._configuration_reader = DocumentReader(CONFIGURATION_PATH, port, log)
        self._endpoint_reader = DocumentReader(ENDPOINTS_PATH, port, log)
        sources = {
            CONFIGURATION_PATH: lambda: configuration.document,
            ENDPOINTS_PATH: lambda: (
                self._own_endpoints.current() if endpoints.is_known else None
            ),
        }
        self._server = DocumentServer(sources, log)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one peer's connection."""
        await self._server.serve(stream)

    async def follow(self) -> None:
        """Catch up with the peers whenever behind, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_configuration)
            nursery.start_soon(self._follow_endpoints)

    async def _follow_configuration(self) -> None:
        behind_since: float | None = None
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            now = trio.current_time()
            peer = self._choose_peer_with_newer_configuration(now)
            if peer is None:
                behind_since = None
                continue
            behind_since = behind_since if behind_since is not None else now
            is_overdue = now - behind_since > MAX_LAG_SECONDS
            if is_overdue or not self._configuration.is_known:
                await self._read_configuration(peer)

    async def _follow_endpoints(self) -> None:
        different_since: float | None = None
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            now = trio.current_time()
            peer = self._choose_peer_with_newer_endpoints(now)
            if peer is None:
                different_since = None
                continue
            different_since = different_since if different_since is not None else now
            max_difference = (
                MAX_DIFFERENCE_SECONDS if self._link.should_watch() else 0.0
            )
            is_overdue = now - different_since >= max_difference
            if is_overdue or not self._endpoints.is_known:
                await self._repair_endpoints(peer)
                different_since = now + PAUSE_AFTER_REPAIR_SECONDS

    def _choose_peer_with_newer_configuration(self, now: float) -> Peer | None:
        version = self._state.configuration.version
        return self._choose_peer(
            peer
            for peer in self._link.table.live_peers(now)
            if peer.report.config_version > version
        )

    def _choose_peer_with_newer_endpoints(self, now: float) -> Peer | None:
        """Return a peer with a newer list of endpoints that differs from ours.

        While this gateway has no list, one from before an outage is better than none:
        otherwise a gateway that started during an outage served no request until the
        outage ended.
        """
        is_known = self._endpoints.is_known
        own = self._state.directory.fingerprint
        revision = self._state.directory.revision
        return self._choose_peer(
            peer
            for peer in self._link.table.live_peers(now)
            if (peer.report.reads_store or not is_known)
            and peer.report.endpoint_revision > revision
            and peer.report.fingerprint != own
        )

    def _choose_peer(self, peers: Iterable[Peer]) -> Peer | None:
        """Return a random peer, weighted by the bandwidth of its link."""
        peers = list(peers)
        if not peers:
            return None
        weights = [max(MIN_LINK_MEGABITS, peer.report.link_megabits) for peer in peers]
        return self._state.random.choices(peers, weights)[0]

    async def _read_configuration(self, peer: Peer) -> None:
        own = self._configuration.document
        document = await self._configuration_reader.read(peer.host, own)
        if document is not None:
            await self._configuration.apply(document, f"peer {peer.host}")

    async def _repair_endpoints(self, peer: Peer) -> None:
        """Read the store again; without a working watch, read the peer's list."""
        is_watching = self._link.should_watch() and not self._endpoints.health.is_out
        if self._endpoints.is_known and is_watching:
            self._endpoints.restart()
            return
        own = self._own_endpoints.current() if self._endpoints.is_known else None
        document = await self._endpoint_reader.read(peer.host, own)
        if document is None:
            return
        try:
            endpoints = tuple(read_endpoints(document))
        except (KeyError, TypeError, ValueError) as error:
            self._state.log.write(
                InvalidEntry(f"endpoints of peer {peer.host}", repr(error)),
                is_failure=True,
            )
            return
        self._endpoints.apply_from_peer(endpoints, document.revision)
