"""What a gateway reads from a peer when its own view is behind."""

from __future__ import annotations

from http import HTTPStatus

import orjson
import trio

from piershore.core.fleet.endpoint import Address, Endpoint, EndpointStage
from piershore.core.fleet.peer_table import Peer
from piershore.core.routes.client_limits import ClientLimits
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import (
    BadRequestError,
    ExchangeBrokenError,
    NotConnectedError,
)
from piershore.http1.message import RequestHead
from piershore.http1.server_connection import ServerConnection
from piershore.ingress.followers.configuration_follower import ConfigurationFollower
from piershore.ingress.followers.endpoint_follower import EndpointFollower
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.peers.peer_link import PeerLink
from piershore.settings.box_settings import BoxSettings
from piershore.telemetry.events import DependencyLost, DocumentReadEnded

CONFIGURATION_PATH = b"/configuration"
ENDPOINTS_PATH = b"/endpoints"
CONNECT_SECONDS = 0.4
READ_SECONDS = 1.0
BEHIND_SECONDS = 0.12
"""How long a view may be behind a peer's before it is mended: a change reaches
all watches within some tens of ms."""
DIFFERENT_SECONDS = 0.5
CHECK_SECONDS = 0.1
PAUSE_AFTER_MENDING_SECONDS = 0.6


class PeerDocuments:
    """Gives this gateway's documents to peers, and takes theirs when behind."""

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
        self._port = settings.peer_ports[0]
        self._link = link
        self._configuration = configuration
        self._endpoints = endpoints

    async def listen(self) -> list[trio.SocketListener]:
        """Take the port for peers' reads."""
        return await trio.open_tcp_listeners(self._port, host=self._host)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer one peer's read."""
        connection = ServerConnection(stream, ClientLimits)
        try:
            head = await connection.next_request()
            if head is not None:
                await connection.read_body()
                connection.must_close = True
                await self._answer(connection, head)
        except (BadRequestError, trio.BrokenResourceError) as error:
            self._state.log.write(DependencyLost("peer's read", str(error)))
        finally:
            with trio.CancelScope(shield=True):
                await connection.finish_close()

    async def follow(self) -> None:
        """Mend what is behind the peers, for ever."""
        behind_since: float | None = None
        different_since: float | None = None
        while True:
            await trio.sleep(CHECK_SECONDS)
            now = trio.current_time()
            ahead = self._ahead_in_configuration(now)
            behind_since = (behind_since or now) if ahead else None
            other = self._ahead_in_endpoints(now)
            different_since = (different_since or now) if other else None
            if ahead and (
                self._state.configuration.value is None
                or now - behind_since > BEHIND_SECONDS
            ):
                await self._read_configuration(ahead)
                behind_since = None
            patience = DIFFERENT_SECONDS if self._link.should_watch() else 0.0
            if other and (
                not self._endpoints.is_known or now - different_since >= patience
            ):
                await self._mend_endpoints(other)
                different_since = now + PAUSE_AFTER_MENDING_SECONDS

    def _ahead_in_configuration(self, now: float) -> Peer | None:
        version = self._state.configuration.version
        ahead = [
            peer
            for peer in self._link.table.living(now)
            if peer.report.config_version > version
        ]
        return self._state.random.choice(ahead) if ahead else None

    def _ahead_in_endpoints(self, now: float) -> Peer | None:
        """Return a peer with a newer list of endpoints that differs from ours."""
        own = self._state.directory.fingerprint
        revision = self._state.directory.revision
        ahead = [
            peer
            for peer in self._link.table.living(now)
            if peer.report.reads_store
            and peer.report.endpoint_revision > revision
            and peer.report.fingerprint != own
        ]
        return self._state.random.choice(ahead) if ahead else None

    async def _mend_endpoints(self, peer: Peer) -> None:
        """Ask the store again; without a watch of our own, take the peer's list."""
        watches = self._link.should_watch() and not self._endpoints.link.is_out
        if self._endpoints.is_known and watches:
            self._endpoints.restart()
            return
        document = await self._read(peer, ENDPOINTS_PATH)
        if document is not None:
            revision, entries = orjson.loads(document)
            self._endpoints.take_from_peer(map(_endpoint, entries), revision)

    async def _read_configuration(self, peer: Peer) -> None:
        document = await self._read(peer, CONFIGURATION_PATH)
        if document is not None:
            self._configuration.take(document, f"peer {peer.host}")

    async def _read(self, peer: Peer, path: bytes) -> bytes | None:
        parts: list[bytes] = []
        started = trio.current_time()
        try:
            with trio.fail_after(READ_SECONDS):
                await self._receive(peer, path, parts)
            reason = ""
        except (NotConnectedError, ExchangeBrokenError) as error:
            reason = str(error)
        except trio.TooSlowError:
            reason = f"not whole after {READ_SECONDS:g} s"
        received = sum(map(len, parts))
        seconds = trio.current_time() - started
        self._state.log.write(
            DocumentReadEnded(path.decode(), peer.host, received, seconds, reason),
            is_failure=bool(reason),
        )
        return None if reason else b"".join(parts)

    async def _receive(self, peer: Peer, path: bytes, parts: list[bytes]) -> None:
        """Append what comes of a document to `parts`."""
        connection = await ClientConnection.open(peer.host, self._port, CONNECT_SECONDS)
        try:
            host = str(Address(peer.host, self._port)).encode()
            head = RequestHead(b"GET", path, ((b"host", host),))
            await connection.send(head, b"")
            answer = await connection.read_head()
            if answer.status != HTTPStatus.OK:
                raise ExchangeBrokenError(f"the peer answered {answer.status}")
            async for part in connection.read_parts():
                parts.append(part)
        finally:
            with trio.CancelScope(shield=True):
                await connection.close()

    async def _answer(self, connection: ServerConnection, head: RequestHead) -> None:
        document = None
        if head.target == CONFIGURATION_PATH:
            document = self._configuration.document
        elif head.target == ENDPOINTS_PATH and self._endpoints.is_known:
            directory = self._state.directory
            document = orjson.dumps([directory.revision, list(map(_entry, directory))])
        status = HTTPStatus.NOT_FOUND if document is None else HTTPStatus.OK
        await connection.respond(status, (), document or b"")


def _entry(endpoint: Endpoint) -> list:
    return [
        endpoint.identity,
        endpoint.service,
        str(endpoint.address),
        endpoint.data_hall,
        endpoint.slots,
        endpoint.stage,
    ]


def _endpoint(entry: list) -> Endpoint:
    identity, service, address, data_hall, slots, stage = entry
    return Endpoint(
        identity,
        service,
        Address.parse(address),
        data_hall,
        slots,
        EndpointStage(stage),
    )
