"""The platform's store as the users publish it, with faults."""

from __future__ import annotations

from collections.abc import Callable
from copy import deepcopy
from dataclasses import asdict, dataclass
from enum import StrEnum
from http import HTTPStatus
from urllib.parse import parse_qs, unquote, urlsplit

import orjson
import trio

from piershore.core.routes.client_limits import ClientLimits
from piershore.http1.exceptions import BadRequestError
from piershore.http1.message import Headers, RequestHead
from piershore.http1.server_connection import ServerConnection

PAGE = 50
BOX_KIND = "boxes"
LEASE_KIND = "piershore-slots"
READS_PER_SECOND = 2_000
WRITES_PER_SECOND = 300


class StoreFault(StrEnum):
    """What the store does to calls."""

    NONE = "none"
    BUSY = "busy"
    MANY = "many"
    RESET = "reset"
    SILENT = "silent"


REFUSING = {
    StoreFault.BUSY: HTTPStatus.SERVICE_UNAVAILABLE,
    StoreFault.MANY: HTTPStatus.TOO_MANY_REQUESTS,
}


@dataclass
class Faults:
    """Switches of the faults; times are seconds."""

    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    stale_reads: bool = False
    drop_changes: int = 0
    box_lag: float = 0.0
    outage_after_write: bool = False


@dataclass
class Counts:
    """Calls so far; a waiting watch counts as one."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


@dataclass(frozen=True)
class Call:
    """A call: method, kind and name in the path, query and body."""

    method: str
    path: tuple[str, ...]
    query: dict[str, str]
    body: bytes

    @classmethod
    def of(cls, head: RequestHead, body: bytes) -> Call:
        """Return the call that a request makes."""
        url = urlsplit(head.target.decode())
        path = tuple(unquote(part) for part in url.path.split("/") if part)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        return cls(head.method.decode(), path, query, body)

    @property
    def is_write(self) -> bool:
        """Whether it changes an object."""
        return self.path[0] == "objects" and self.method != "GET"


@dataclass(frozen=True)
class StoreCopy:
    """What the store held at a moment."""

    objects: dict[str, dict[str, dict]]
    revision: int


Answer = tuple[int, object]


def _do_nothing(kind: str) -> None:
    """Do nothing between two pages of a list."""


class PublishedStore:
    """Objects by kind and name, one counter of revisions, and watches.

    Its answers tell the `era`, unless that is None; `era_text` is told in its place.
    `after_page` is called with the kind after each page of a list but the last one.
    """

    def __init__(self) -> None:
        self.fault = StoreFault.NONE
        self.faults = Faults()
        self.counts = Counts()
        self.calls = 0
        self.watch_times: list[tuple[str, float]] = []
        self.is_deaf = False
        self.after_page: Callable[[str], None] = _do_nothing
        self.era: int | None = 0
        self.era_text: str | None = None
        self.port = 0
        self._revision = 1
        self._objects: dict[str, dict[str, dict]] = {}
        self._frozen: tuple[dict[str, dict[str, dict]], int] | None = None
        self._boxes: dict[str, list[tuple[float, dict | None]]] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._oldest = 0
        self._changed = trio.Event()
        self._scopes: dict[trio.CancelScope, str] = {}
        self._second = 0
        self._in_second = Counts()
        self._kept = self.copy()

    def put(self, kind: str, name: str, spec: dict) -> dict:
        """Make or replace an object."""
        self._revision += 1
        metadata = {
            "name": name,
            "revision": self._revision,
            "made": 1,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = item
        self._note(kind, {"gone": False, "object": item})
        return item

    def remove(self, kind: str, name: str) -> dict:
        """Remove an object."""
        self._revision += 1
        item = self._objects[kind].pop(name)
        self._note(kind, {"gone": True, "object": item})
        return item

    def copy(self) -> StoreCopy:
        """Return a copy to come back from."""
        return StoreCopy(deepcopy(self._objects), self._revision)

    def come_back(self, copy: StoreCopy, uncut_kind: str = "") -> None:
        """Come back from an older copy: what was written since is gone.

        Revisions go back with it, and are given out again. Watches are cut, except for
        those of `uncut_kind`.
        """
        self._objects = deepcopy(copy.objects)
        self._revision = self._oldest = copy.revision
        self._events.clear()
        self.era = (self.era or 0) + 1
        self.cut_watches(uncut_kind)

    def names(self, kind: str) -> set[str]:
        """Return the names of the objects of a kind."""
        return set(self._objects.get(kind, {}))

    def forget_history(self) -> None:
        """Drop all changes so far."""
        self._oldest = self._revision
        self._events.clear()

    def cut_watches(self, uncut_kind: str = "") -> None:
        """Close the connections of all watches that wait, but those of a kind."""
        for scope, kind in list(self._scopes.items()):
            if kind != uncut_kind:
                scope.cancel()

    async def serve(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        task_status=trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(port, host=host)
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
            while (head := await connection.next_request()) is not None:
                call = Call.of(head, await connection.read_body())
                if not await self._respond(connection, call):
                    break
                if not connection.prepare_next_request():
                    break
        except (BadRequestError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await connection.close()

    async def _respond(self, connection: ServerConnection, call: Call) -> bool:
        """Answer one call; False if its connection is to be closed instead."""
        self.calls += 1
        if call.path[0].startswith("_"):
            status, body = self._control(call)
        else:
            await trio.sleep(self.faults.delay)
            if self.fault is StoreFault.RESET:
                return False
            if self.fault is StoreFault.SILENT:
                await trio.sleep_forever()
            status, body = await self._serve_objects(call)
            if status < HTTPStatus.BAD_REQUEST and self._loses_answer(call):
                return False
        await connection.respond(status, self._headers(), orjson.dumps(body))
        return True

    def _headers(self) -> Headers:
        text = self.era_text if self.era_text is not None else self.era
        return () if text is None else ((b"store-era", str(text).encode()),)

    def _loses_answer(self, call: Call) -> bool:
        if not call.is_write:
            return False
        if self.faults.outage_after_write and call.path[1] != LEASE_KIND:
            self.faults.outage = True
        if self.faults.lose_answers <= 0:
            return False
        self.faults.lose_answers -= 1
        return True

    async def _serve_objects(self, call: Call) -> Answer:
        if self.fault in REFUSING:
            return REFUSING[self.fault], {}
        if self.faults.outage or not self._is_within_rate(call):
            return HTTPStatus.SERVICE_UNAVAILABLE, {}
        kind, *rest = call.path[1:]
        if call.is_write:
            self.counts.writes += 1
            return self._write(call, kind, rest)
        self.counts.reads += 1
        if "watch" in call.query:
            self.watch_times.append((kind, trio.current_time()))
            return await self._watch(kind, call.query)
        if rest:
            item = self._readable()[0].get(kind, {}).get(rest[0])
            return (HTTPStatus.OK, item) if item else (HTTPStatus.NOT_FOUND, {})
        listed = self._list(kind, call.query)
        if listed["more"]:
            self.after_page(kind)
        return HTTPStatus.OK, listed

    def _is_within_rate(self, call: Call) -> bool:
        second = int(trio.current_time())
        if second != self._second:
            self._second, self._in_second = second, Counts()
        if call.is_write:
            self._in_second.writes += 1
            return self._in_second.writes <= WRITES_PER_SECOND
        self._in_second.reads += 1
        return self._in_second.reads <= READS_PER_SECOND

    def _write(self, call: Call, kind: str, rest: list[str]) -> Answer:
        body = orjson.loads(call.body) if call.body else {}
        metadata = body.get("metadata", {})
        name = rest[0] if rest else metadata["name"]
        current = self._objects.get(kind, {}).get(name)
        if call.method == "POST":
            if current is not None:
                return HTTPStatus.CONFLICT, current
            return HTTPStatus.CREATED, self.put(kind, name, body["spec"])
        if current is None:
            return HTTPStatus.NOT_FOUND, {}
        wanted = metadata.get("revision", call.query.get("revision"))
        if wanted is not None and int(wanted) != current["metadata"]["revision"]:
            return HTTPStatus.CONFLICT, current
        if call.method == "DELETE":
            return HTTPStatus.OK, self.remove(kind, name)
        if body["spec"] == current["spec"]:
            return HTTPStatus.OK, current
        return HTTPStatus.OK, self.put(kind, name, body["spec"])

    def _readable(self) -> tuple[dict[str, dict[str, dict]], int]:
        if self.faults.stale_reads and self._frozen is not None:
            return self._frozen
        return self._objects, self._revision

    def _list(self, kind: str, query: dict[str, str]) -> dict:
        if kind == BOX_KIND:
            return {"items": self._listed_boxes(), "more": False, "at": self._revision}
        objects, revision = self._readable()
        after = query.get("since_revision", "")
        names = [n for n in sorted(objects.get(kind, {})) if n > after]
        items = [objects[kind][name] for name in names[:PAGE]]
        return {"items": items, "more": len(names) > PAGE, "at": revision}

    def _listed_boxes(self) -> list[dict]:
        seen_at = trio.current_time() - self.faults.box_lag
        items = []
        for name, history in self._boxes.items():
            past = [entry for at, entry in history if at <= seen_at]
            if past and past[-1] is not None:
                items.append({"metadata": {"name": name}, "spec": past[-1]})
        return items

    async def _watch(self, kind: str, query: dict[str, str]) -> Answer:
        since = int(query["watch"])
        self.counts.watches += 1
        with trio.CancelScope() as scope:
            self._scopes[scope] = kind
            try:
                with trio.move_on_after(int(query.get("wait_ms", 0)) / 1_000):
                    return await self._next_events(kind, since)
                return HTTPStatus.OK, {"events": [], "at": self._revision}
            finally:
                del self._scopes[scope]
                self.counts.watches -= 1
        raise trio.BrokenResourceError("the watch was cut")

    async def _next_events(self, kind: str, since: int) -> Answer:
        while True:
            if not self._oldest <= since <= self._revision:
                return HTTPStatus.GONE, {}
            events = [e for r, k, e in self._events if k == kind and r > since]
            if events and not self.is_deaf:
                if self.faults.drop_changes > 0:
                    self.faults.drop_changes -= 1
                    return HTTPStatus.GONE, {}
                return HTTPStatus.OK, {"events": events, "at": self._revision}
            await self._changed.wait()

    def _control(self, call: Call) -> Answer:
        """Switch faults, enter boxes and tell counts."""
        control: dict[str, Callable[[Call], object]] = {
            "_faults": self._set_faults,
            "_counts": lambda call: asdict(self.counts),
            "_boxes": self._set_box,
            "_copies": self._keep_copy,
            "_returns": self._return,
        }
        return HTTPStatus.OK, control[call.path[0]](call)

    def _set_faults(self, call: Call) -> object:
        for name, value in orjson.loads(call.body).items():
            if name == "stale_reads" and value:
                self._frozen = (deepcopy(self._objects), self._revision)
            setattr(self.faults, name, value)
        if self.faults.outage:
            self.cut_watches()
        return asdict(self.faults)

    def _keep_copy(self, call: Call) -> object:
        self._kept = self.copy()
        return {"revision": self._kept.revision}

    def _return(self, call: Call) -> object:
        self.come_back(self._kept)
        return {"era": self.era}

    def _set_box(self, call: Call) -> object:
        if call.method == "DELETE":
            name, entry = call.path[1], None
        else:
            entry = orjson.loads(call.body)
            name = entry["name"]
        self._boxes.setdefault(name, []).append((trio.current_time(), entry))
        return {}
