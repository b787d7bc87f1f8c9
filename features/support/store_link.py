"""One gateway's way to the store, which may fall silent."""

from __future__ import annotations

import trio

CHUNK_BYTES = 65_536


class StoreLink:
    """Passes connections on to the store; passes nothing any more once it is silent."""

    def __init__(self, store_port: int) -> None:
        self._store_port = store_port
        self._watching: set[trio.SocketStream] = set()
        self.is_silent = False
        self.port = 0
        self.calls = 0

    @property
    def has_watch(self) -> bool:
        """Whether a watch of this gateway waits at the store."""
        return bool(self._watching)

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._serve_one, listeners)

    async def _serve_one(self, gateway: trio.SocketStream) -> None:
        store = await trio.open_tcp_stream("127.0.0.1", self._store_port)
        async with gateway, store, trio.open_nursery() as nursery:
            nursery.start_soon(self._pass_calls, gateway, store, nursery.cancel_scope)
            nursery.start_soon(self._pass_answers, gateway, store, nursery.cancel_scope)
        self._watching.discard(gateway)

    async def _pass_calls(self, gateway, store, scope: trio.CancelScope) -> None:
        try:
            async for data in gateway:
                if self.is_silent:
                    continue
                self.calls += data.count(b" HTTP/1.1\r\n")
                if b"watch=" in data:
                    self._watching.add(gateway)
                await store.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    async def _pass_answers(self, gateway, store, scope: trio.CancelScope) -> None:
        try:
            async for data in store:
                if not self.is_silent:
                    self._watching.discard(gateway)
                    await gateway.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()
