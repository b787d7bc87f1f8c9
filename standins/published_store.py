"""The platform's store as the users publish it, with faults."""

from __future__ import annotations

from enum import StrEnum
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

import orjson
import trio

from piershore.core.routes.client_limits import ClientLimits
from piershore.http1.exceptions import BadRequestError
from piershore.http1.server_connection import ServerConnection

PAGE = 50


class StoreFault(StrEnum):
    """What the store does to calls."""

    NONE = "none"
    BUSY = "busy"
    MANY = "many"
    RESET = "reset"
    SILENT = "silent"


class PublishedStore:
    """Objects by kind and name, one counter of revisions, and watches."""

    def __init__(self) -> None:
        self.fault = StoreFault.NONE
        self.calls = 0
        self.is_deaf = False
        self._revision = 1
        self._objects: dict[str, dict[str, dict]] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._oldest = 0
        self._changed = trio.Event()
        self._scopes: set[trio.CancelScope] = set()
        self.port = 0

    def put(self, kind: str, name: str, spec: dict) -> None:
        """Make or replace an object."""
        self._revision += 1
        metadata = {"name": name, "revision": self._revision, "made": 1}
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = item
        self._note(kind, {"gone": False, "object": item})

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._revision += 1
        item = self._objects[kind].pop(name)
        self._note(kind, {"gone": True, "object": item})

    def forget_history(self) -> None:
        """Drop all changes so far."""
        self._oldest = self._revision
        self._events.clear()

    def cut_watches(self) -> None:
        """Close all connections."""
        for scope in self._scopes:
            scope.cancel()

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._serve_one, listeners)

    def _note(self, kind: str, event: dict) -> None:
        self._events.append((self._revision, kind, event))
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def _serve_one(self, stream: trio.SocketStream) -> None:
        connection = ServerConnection(stream, ClientLimits)
        try:
            with trio.CancelScope() as scope:
                self._scopes.add(scope)
                while (head := await connection.next_request()) is not None:
                    await connection.read_body()
                    self.calls += 1
                    if not await self._answer(connection, head.target.decode()):
                        break
                    if not connection.start_next():
                        break
        except (BadRequestError, trio.BrokenResourceError):
            pass
        finally:
            self._scopes.discard(scope)
            with trio.CancelScope(shield=True):
                await connection.close()

    async def _answer(self, connection: ServerConnection, target: str) -> bool:
        if self.fault is StoreFault.RESET:
            return False
        if self.fault is StoreFault.SILENT:
            await trio.sleep_forever()
        refusing = {
            StoreFault.BUSY: HTTPStatus.SERVICE_UNAVAILABLE,
            StoreFault.MANY: HTTPStatus.TOO_MANY_REQUESTS,
        }
        if self.fault in refusing:
            await connection.respond(refusing[self.fault], (), b"{}")
            return True
        url = urlsplit(target)
        kind = url.path.split("/")[2]
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if "watch" in query:
            status, body = await self._watch(kind, query)
        else:
            status, body = HTTPStatus.OK, self._list(kind, query)
        await connection.respond(status, (), orjson.dumps(body))
        return True

    def _list(self, kind: str, query: dict[str, str]) -> dict:
        after = query.get("since_revision", "")
        names = [n for n in sorted(self._objects.get(kind, {})) if n > after]
        items = [self._objects[kind][name] for name in names[:PAGE]]
        return {"items": items, "more": len(names) > PAGE, "at": self._revision}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, dict]:
        since = int(query["watch"])
        with trio.move_on_after(int(query.get("wait_ms", 0)) / 1_000):
            while True:
                if since < self._oldest:
                    return HTTPStatus.GONE, {}
                events = [e for r, k, e in self._events if k == kind and r > since]
                if events and not self.is_deaf:
                    return HTTPStatus.OK, {"events": events, "at": self._revision}
                await self._changed.wait()
        return HTTPStatus.OK, {"events": [], "at": self._revision}
