"""Listening sockets of a gateway, and the tasks that serve their connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial

import trio

from piershore.core.fleet.endpoint import Address
from piershore.early_listener import BACKLOG, pop_early_listener
from piershore.telemetry.event_log import EventLog

READY_PATIENCE_SECONDS = 0.3
"""Maximum wait of callers for the first view of the store, which takes a few tens of
milliseconds. If the store is unavailable, they are refused at once afterwards."""
READY_POLL_SECONDS = 0.005

Handler = Callable[[trio.SocketStream], Awaitable[None]]


class Listeners:
    """Opens ports and serves their connections in a nursery of the process."""

    def __init__(self, nursery: trio.Nursery, log: EventLog) -> None:
        self._nursery = nursery
        self._log = log

    async def listen(self, host: str, port: int, handler: Handler) -> None:
        """Open a port and serve it from now on; raise `OSError` if it is in use."""
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        self._serve(listeners, handler)

    async def listen_to_callers(
        self, address: Address, handler: Handler, is_ready: Callable[[], bool]
    ) -> None:
        """Open the callers' port, or take over the socket opened at the process start.

        It is served once `is_ready` returns True, since the gateway then knows where
        to forward requests, or after `READY_PATIENCE_SECONDS`.
        """
        early_listener = pop_early_listener(address.host, address.port)
        if early_listener is None:
            listeners = await trio.open_tcp_listeners(
                address.port, host=address.host, backlog=BACKLOG
            )
        else:
            early_socket = trio.socket.from_stdlib_socket(early_listener)
            listeners = [trio.SocketListener(early_socket)]
        self._nursery.start_soon(self._serve_when, is_ready, listeners, handler)

    async def _serve_when(
        self,
        is_ready: Callable[[], bool],
        listeners: list[trio.SocketListener],
        handler: Handler,
    ) -> None:
        with trio.move_on_after(READY_PATIENCE_SECONDS):
            while not is_ready():
                await trio.sleep(READY_POLL_SECONDS)
        self._serve(listeners, handler)

    def _serve(self, listeners: list[trio.SocketListener], handler: Handler) -> None:
        guarded = partial(self._guard, handler)
        self._nursery.start_soon(partial(trio.serve_listeners, guarded, listeners))

    async def _guard(self, handler: Handler, stream: trio.SocketStream) -> None:
        """Keep an error in one connection from ending the process."""
        try:
            await handler(stream)
        except Exception as error:
            self._log.write_internal_error(handler.__qualname__, error)
