"""A pool of connections to endpoints."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from enum import Enum
from functools import partial

import trio

from piershore.core.fleet.endpoint import Address, Endpoint
from piershore.http1.body_memory import BodyMemory
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import NotConnectedError
from piershore.http1.message import ResponseHead

CONNECT_SECONDS = 0.35
"""Connecting within a region takes a few ms. A lost first packet is sent again only
after a second; by then it is better to use another endpoint."""
IMMEDIATE_CLOSE_SECONDS = 0.03
"""An endpoint with too many connections, or a balancer without a backend, closes a new
connection within some ms."""
MAX_IDLE_SECONDS = 4.0
"""Maximum idle time of a pooled connection; endpoints may drop one earlier."""
KEEP_ALIVE_MARGIN_SECONDS = 1.0
"""How long before the endpoint's own idle timeout a connection is closed. Endpoints
advertise the timeout in whole seconds."""
MAX_IDLE_CONNECTIONS = 8
"""Maximum number of idle connections to one endpoint; the usual load needs no more."""


class PortState(Enum):
    """What happens to a new connection.

    `REFUSING`: nobody listens there. `CLOSING` proves nothing: the endpoint may have
    too many connections, or a load balancer in front of it may have lost it. `SILENT`:
    the peer didn't respond in time.
    """

    OPEN = "open"
    REFUSING = "refusing"
    CLOSING = "closing"
    SILENT = "silent"


OnEndpointHead = Callable[[Endpoint, ResponseHead], None]


def _ignore_head(endpoint: Endpoint, head: ResponseHead) -> None:
    """Do nothing with an endpoint's head."""


class ConnectionPool:
    """Hands out connections for one exchange each and keeps the reusable ones.

    All answers of endpoints arrive over these connections, whether to requests, probes
    or moves. Up to `max_idle_connections` to each address are kept. `body_memory` is
    what all answers share that are read as a whole.
    """

    def __init__(
        self,
        connect_seconds: float = CONNECT_SECONDS,
        max_idle_connections: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        self._connect_seconds = connect_seconds
        self._max_idle_connections = max_idle_connections
        self._on_head: OnEndpointHead = _ignore_head
        self._idle: dict[Address, list[ClientConnection]] = {}
        self._retired: list[ClientConnection] = []
        self.body_memory = BodyMemory()

    def set_head_callback(self, on_head: OnEndpointHead) -> None:
        """Call `on_head` with the head of each answer and the endpoint that sent it."""
        self._on_head = on_head

    async def acquire(
        self, endpoint: Endpoint, max_idle_seconds: float
    ) -> ClientConnection:
        """Return a pooled connection that was idle for at most `max_idle_seconds`.

        If there is none, open a new one; raise `NotConnectedError` if that fails.
        """
        connection = await self.acquire_at(endpoint.address, max_idle_seconds)
        connection.on_head = partial(self._on_head, endpoint)
        return connection

    async def open(self, endpoint: Endpoint) -> ClientConnection:
        """Return a new connection; raise `NotConnectedError` if it can't be opened."""
        connection = await self._open(endpoint.address)
        connection.on_head = partial(self._on_head, endpoint)
        return connection

    async def acquire_at(
        self, address: Address, max_idle_seconds: float
    ) -> ClientConnection:
        """Do the same as `acquire`, for an address of no listed endpoint."""
        now = trio.current_time()
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if now - connection.last_used <= max_idle_seconds and self._is_usable(
                connection, now
            ):
                return connection
            await connection.close()
        return await self._open(address)

    @asynccontextmanager
    async def borrow(
        self, endpoint: Endpoint, max_idle_seconds: float
    ) -> AsyncIterator[ClientConnection]:
        """Provide a connection for one exchange, and keep it if that succeeds.

        Raise `NotConnectedError` if a new connection can't be opened.
        """
        connection = await self.acquire(endpoint, max_idle_seconds)
        is_done = False
        try:
            yield connection
            is_done = True
        finally:
            with trio.CancelScope(shield=True):
                await self.release(endpoint.address, connection, reusable=is_done)

    async def can_connect(self, address: Address) -> bool:
        """Return whether a new connection can be opened; close it again."""
        try:
            connection = await self._open(address)
        except NotConnectedError:
            return False
        await connection.close()
        return True

    async def probe_port(self, address: Address) -> PortState:
        """Return what happens to a new connection to an address."""
        try:
            connection = await self._open(address)
        except NotConnectedError as error:
            return PortState.SILENT if error.timed_out else PortState.REFUSING
        try:
            is_closed = await connection.closes_within(IMMEDIATE_CLOSE_SECONDS)
            return PortState.CLOSING if is_closed else PortState.OPEN
        finally:
            await connection.close()

    async def release(
        self, address: Address, connection: ClientConnection, *, reusable: bool
    ) -> None:
        """Keep a connection if it is `reusable`, else close it."""
        idle = self._idle.setdefault(address, [])
        has_room = len(idle) < self._max_idle_connections
        if reusable and has_room and connection.end_exchange():
            idle.append(connection)
            return
        await connection.close()

    async def close_connections_to(self, address: Address) -> None:
        """Close the pooled connections to an address."""
        for connection in self._idle.pop(address, []):
            await connection.close()

    def retire(self, address: Address) -> None:
        """Stop using the pooled connections to an address; `close_idle` closes them."""
        self._retired.extend(self._idle.pop(address, ()))

    async def close_idle(self) -> None:
        """Close the connections that were idle for too long or are retired."""
        now = trio.current_time()
        expired, self._retired = self._retired, []
        # Remove all of them before the first await, so that none is handed out.
        for address, idle in list(self._idle.items()):
            expired.extend(c for c in idle if not self._is_usable(c, now))
            idle[:] = [c for c in idle if c not in expired]
            if not idle:
                del self._idle[address]
        for connection in expired:
            await connection.close()

    async def close(self) -> None:
        """Close all connections."""
        for address in list(self._idle):
            await self.close_connections_to(address)
        for connection in self._retired:
            await connection.close()

    async def _open(self, address: Address) -> ClientConnection:
        connection = await ClientConnection.open(
            address.host, address.port, self._connect_seconds
        )
        connection.body_memory = self.body_memory
        return connection

    @staticmethod
    def _is_usable(connection: ClientConnection, now: float) -> bool:
        limit = MAX_IDLE_SECONDS
        if connection.keep_alive_seconds is not None:
            limit = min(
                limit, connection.keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS
            )
        return now - connection.last_used < limit and connection.is_clean()
