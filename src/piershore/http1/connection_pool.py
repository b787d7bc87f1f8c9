"""Kept connections to endpoints, by address."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial

import trio

from piershore.core.fleet.endpoint import Address, Endpoint
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import NotConnectedError
from piershore.http1.message import ResponseHead

CONNECT_SECONDS = 0.35
"""A connection in one region comes up in a few ms; a lost first packet is sent
again only after a second, and by then another endpoint is the better choice."""
CLOSED_AT_ONCE_SECONDS = 0.03
"""Who has too many connections, or leads nowhere, closes a new one within some ms."""
LONGEST_IDLE_SECONDS = 4.0
"""Longest rest of a kept connection; endpoints may forget one sooner."""
KEEP_ALIVE_MARGIN_SECONDS = 1.0
"""Closed this long before the endpoint would: its times are whole seconds."""
MOST_KEPT = 8
"""Kept connections to one endpoint; more would be idle at the usual load."""


OnEndpointHead = Callable[[Endpoint, ResponseHead], None]


def _ignore(endpoint: Endpoint, head: ResponseHead) -> None:
    """Take no note of an endpoint's head."""


class ConnectionPool:
    """Hands out one connection at a time and takes back those that are sound.

    All that endpoints answer comes over these connections: requests, questions and
    moves alike.
    """

    def __init__(self) -> None:
        self._on_head: OnEndpointHead = _ignore
        self._kept: dict[Address, list[ClientConnection]] = {}
        self._retired: list[ClientConnection] = []

    def listen(self, on_head: OnEndpointHead) -> None:
        """Let `on_head` get the head of each answer with the endpoint that gave it."""
        self._on_head = on_head

    async def take(self, endpoint: Endpoint, longest_idle: float) -> ClientConnection:
        """Return a kept connection that rested at most so long, or a new one."""
        connection = await self._take(endpoint.address, longest_idle)
        connection.on_head = partial(self._on_head, endpoint)
        return connection

    async def _take(self, address: Address, longest_idle: float) -> ClientConnection:
        now = trio.current_time()
        kept = self._kept.get(address, [])
        while kept:
            connection = kept.pop()
            if now - connection.last_used <= longest_idle and self._is_usable(
                connection, now
            ):
                return connection
            await connection.close()
        return await self._open(address)

    @asynccontextmanager
    async def borrow(
        self, endpoint: Endpoint, longest_idle: float
    ) -> AsyncIterator[ClientConnection]:
        """Lend a connection for one exchange; it is kept if that ends well.

        Raise `NotConnectedError` if there is none.
        """
        connection = await self.take(endpoint, longest_idle)
        is_done = False
        try:
            yield connection
            is_done = True
        finally:
            with trio.CancelScope(shield=True):
                await self.give_back(endpoint.address, connection, reusable=is_done)

    async def can_connect(self, address: Address) -> bool:
        """Tell whether a new connection comes up, and close it."""
        try:
            connection = await self._open(address)
        except NotConnectedError:
            return False
        await connection.close()
        return True

    async def is_there(self, address: Address) -> bool | None:
        """Tell whether anybody serves at an address; None if that isn't known.

        Who refuses a connection isn't there. One that is closed at once tells nothing:
        its endpoint may have too many, or a balancer before it has lost it.
        """
        try:
            connection = await self._open(address)
        except NotConnectedError as error:
            return None if error.timed_out else False
        try:
            is_closed = await connection.closes_within(CLOSED_AT_ONCE_SECONDS)
            return None if is_closed else True
        finally:
            await connection.close()

    async def give_back(
        self, address: Address, connection: ClientConnection, *, reusable: bool
    ) -> None:
        """Keep a connection for later if it may be used again."""
        kept = self._kept.setdefault(address, [])
        if reusable and len(kept) < MOST_KEPT and connection.end_exchange():
            kept.append(connection)
            return
        await connection.close()

    async def drop(self, address: Address) -> None:
        """Close the kept connections to an endpoint that leaves."""
        for connection in self._kept.pop(address, []):
            await connection.close()

    def retire(self, address: Address) -> None:
        """Hand out none of the kept connections; the next sweep closes them."""
        self._retired.extend(self._kept.pop(address, ()))

    async def close_idle(self) -> None:
        """Close the connections that rested too long, and those that were retired."""
        now = trio.current_time()
        idle, self._retired = self._retired, []
        # All are taken out before the first wait: none may be handed out meanwhile.
        for address, kept in list(self._kept.items()):
            idle.extend(c for c in kept if not self._is_usable(c, now))
            kept[:] = [c for c in kept if c not in idle]
            if not kept:
                del self._kept[address]
        for connection in idle:
            await connection.close()

    async def close(self) -> None:
        """Close all connections."""
        for address in list(self._kept):
            await self.drop(address)
        for connection in self._retired:
            await connection.close()

    @staticmethod
    async def _open(address: Address) -> ClientConnection:
        return await ClientConnection.open(address.host, address.port, CONNECT_SECONDS)

    @staticmethod
    def _is_usable(connection: ClientConnection, now: float) -> bool:
        longest = LONGEST_IDLE_SECONDS
        if connection.keep_alive is not None:
            longest = min(longest, connection.keep_alive - KEEP_ALIVE_MARGIN_SECONDS)
        return now - connection.last_used < longest and connection.is_clean()
