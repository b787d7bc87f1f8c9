"""Client of the platform's object API: reads, conditional writes and watches."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable, Iterator, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import orjson
import trio

from piershore.core.fleet.endpoint import Address
from piershore.core.fleet.store_era import StoreEra
from piershore.core.fleet.store_revision import MAX_REVISION_NUMBER, StoreRevision
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.http1.message import RequestHead, ResponseHead
from piershore.platform.exceptions import (
    ObjectConflictError,
    PlatformUnavailableError,
    WatchGapError,
    WriteUncertainError,
)
from piershore.platform.lenient_json import decode_json

ERA_HEADER = b"store-era"
CONNECT_SECONDS = 0.6
"""The store accepts connections within a few ms. A lost first packet is sent again only
after 1 s."""
CALL_SECONDS = 1.5
"""Maximum wait until an answer starts. A slow store takes 60 times its usual 4 ms."""
WATCH_GRACE_SECONDS = 0.8
"""Maximum delay of a watch's answer beyond the requested wait."""
CATCH_UP_SECONDS = 0.001
"""Wait of a watch that only asks for changes so far."""
STALL_TIMEOUT_SECONDS = 1.5
"""An answer is abandoned if no bytes arrive for this long. Its total time is not
limited: with such a limit, an object of 0.8 MB never arrived over a 5 Mbit/s link."""
ANSWERING_STATUSES = frozenset(
    {
        HTTPStatus.OK,
        HTTPStatus.CREATED,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.CONFLICT,
    }
)
"""Statuses with which the API itself answers. Any other means that nothing was done."""


@dataclass(frozen=True)
class PlatformObject:
    """An object of the store and the revision of its last change.

    `spec` may be any JSON value, since any process may write objects.
    """

    name: str
    spec: Any
    revision: int = 0


@dataclass(frozen=True)
class ObjectList:
    """All objects of a kind as of a revision of the store."""

    objects: tuple[PlatformObject, ...]
    revision: StoreRevision


@dataclass(frozen=True)
class ObjectChange:
    """An object that was written or removed."""

    object: PlatformObject
    is_gone: bool


@dataclass(frozen=True)
class ObjectChanges:
    """Changes in the order of their revisions, complete up to `revision`."""

    changes: tuple[ObjectChange, ...]
    revision: StoreRevision


@dataclass(frozen=True)
class ObjectCall:
    """One call to the store."""

    method: bytes
    path: str
    body: Mapping | None = None


@dataclass(frozen=True)
class ObjectAnswer:
    """The store's answer to a call, with the era of the store."""

    status: int
    body: Mapping
    era: int


class ObjectClient:
    """Makes one call at a time over one persistent connection to the store.

    Clients of one store may share its `era`, which each answer updates.
    """

    def __init__(self, address: Address, era: StoreEra | None = None) -> None:
        self._address = address
        self._connection: ClientConnection | None = None
        self._is_sent = False
        self._era = StoreEra() if era is None else era
        self._last_received_at = float("-inf")

    @property
    def last_received_at(self) -> float:
        """When bytes of an answer were last received, by trio's clock."""
        return self._last_received_at

    @property
    def era(self) -> StoreEra:
        """The store's era according to its answers so far."""
        return self._era

    async def list(self, kind: str) -> ObjectList:
        """Read all objects of a kind as of one revision.

        A list of several pages is read at several moments: the changes since its first
        page are applied to it. Raise `PlatformUnavailableError` if the store doesn't
        answer, and `WatchGapError` if it was restored from an older copy between two
        pages, or no longer has the changes since the first one.
        """
        pages = [page async for page in self._read_pages(kind)]
        objects = {item.name: item for page in pages for item in page.objects}
        reached, last = pages[0].revision, pages[-1].revision
        while reached < last:
            later = await self.watch(kind, reached, CATCH_UP_SECONDS)
            if not later.changes:
                # This doesn't prove that there were none: the next watch starts here.
                break
            _apply_changes(objects, later.changes)
            reached = later.revision
        return ObjectList(tuple(objects.values()), reached)

    async def _read_pages(self, kind: str) -> AsyncIterator[ObjectList]:
        """Yield the pages of a list, each with the revision at which it was read."""
        after = ""
        era: int | None = None
        while True:
            start = quote(after, errors="surrogatepass")
            query = f"?since_revision={start}" if after else ""
            answer = await self._get(f"/objects/{kind}{query}", CALL_SECONDS)
            if era is not None and era != answer.era:
                raise WatchGapError(
                    "the store was restored from an older copy during the read"
                )
            era = answer.era
            objects = tuple(_objects(_entries(answer.body, "items")))
            yield ObjectList(objects, _answer_revision(answer))
            if not answer.body.get("more") or not objects:
                return
            after = objects[-1].name

    async def watch(
        self, kind: str, revision: StoreRevision, wait: float
    ) -> ObjectChanges:
        """Wait for changes after `revision`, at most `wait` seconds.

        Raise `WatchGapError` if the store no longer has that history, or has been
        restored from an older copy since. A restored store may issue the revision's
        number again without detecting it; the watch would continue from there and miss
        the changes in between.
        """
        query = f"?watch={revision.number}&wait_ms={int(wait * 1_000)}"
        path = f"/objects/{kind}{query}"
        answer = await self._get(path, wait + WATCH_GRACE_SECONDS)
        if answer.era != revision.era:
            raise WatchGapError("the store was restored from an older copy")
        changes = tuple(_changes(_entries(answer.body, "events")))
        return ObjectChanges(changes, _answer_revision(answer))

    async def get(self, kind: str, name: str) -> PlatformObject | None:
        """Read one object; return None if it doesn't exist."""
        call = ObjectCall(b"GET", f"/objects/{kind}/{quote(name)}")
        answer = await self._call(call, CALL_SECONDS)
        return None if answer.status == HTTPStatus.NOT_FOUND else _object(answer.body)

    async def create(self, kind: str, name: str, spec: Mapping) -> PlatformObject:
        """Create an object; raise `ObjectConflictError` if it exists.

        Like the other writes, raise `WriteUncertainError` if the answer was lost, and
        `PlatformUnavailableError` if nothing was written.
        """
        body = {"metadata": {"name": name}, "spec": spec}
        return await self._write(ObjectCall(b"POST", f"/objects/{kind}", body))

    async def replace(
        self, kind: str, name: str, spec: Mapping, revision: int
    ) -> PlatformObject:
        """Replace an object; raise `ObjectConflictError` if it isn't at `revision`."""
        body = {"metadata": {"name": name, "revision": revision}, "spec": spec}
        path = f"/objects/{kind}/{quote(name)}"
        return await self._write(ObjectCall(b"PUT", path, body))

    async def remove(self, kind: str, name: str, revision: int) -> PlatformObject:
        """Remove an object and return it as it was.

        Raise `ObjectConflictError` if it isn't at `revision`.
        """
        path = f"/objects/{kind}/{quote(name)}?revision={revision}"
        return await self._write(ObjectCall(b"DELETE", path))

    async def close(self) -> None:
        """Close the connection; it isn't reused even if the closing is cancelled."""
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.close()

    async def _get(self, path: str, timeout: float) -> ObjectAnswer:
        answer = await self._call(ObjectCall(b"GET", path), timeout)
        if answer.status == HTTPStatus.NOT_FOUND:
            raise PlatformUnavailableError("the store doesn't know the kind")
        return answer

    async def _write(self, call: ObjectCall) -> PlatformObject:
        answer = await self._call(call, CALL_SECONDS)
        if answer.status in (HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND):
            current = _object(answer.body) if answer.body else None
            raise ObjectConflictError("the object has changed", current)
        return _object(answer.body)

    async def _call(self, call: ObjectCall, timeout: float) -> ObjectAnswer:
        self._is_sent = False
        try:
            return await self._exchange(call, timeout)
        except (trio.TooSlowError, ExchangeBrokenError, NotConnectedError) as error:
            await self.close()
            reason = str(error) or f"no answer after {timeout:g} s"
            if self._is_sent and call.method != b"GET":
                raise WriteUncertainError(f"the answer was lost: {reason}") from error
            raise PlatformUnavailableError(f"the store: {reason}") from error
        except BaseException:
            with trio.CancelScope(shield=True):
                await self.close()
            raise

    async def _exchange(self, call: ObjectCall, timeout: float) -> ObjectAnswer:
        with trio.fail_after(timeout + CONNECT_SECONDS):
            connection = await self._connect()
            answer = await self._send(connection, call)
        era = self._era.value
        data = b"".join([chunk async for chunk in self._read_chunks(connection)])
        if not connection.end_exchange():
            await self.close()
        return _answer(answer.status, data, era)

    async def _send(
        self, connection: ClientConnection, call: ObjectCall
    ) -> ResponseHead:
        """Send a call and read the head of its answer."""
        body = b"" if call.body is None else orjson.dumps(call.body)
        headers = [(b"host", str(self._address).encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", str(len(body)).encode()))
        self._is_sent = True
        head = RequestHead(call.method, call.path.encode(), tuple(headers))
        await connection.send(head, body)
        answer = await connection.read_head()
        self._last_received_at = trio.current_time()
        if not self._era.observe(
            _decode_header(answer.header(ERA_HEADER)), self._last_received_at
        ):
            reason = "the answer is from before the store was restored"
            if call.method == b"GET":
                raise PlatformUnavailableError(reason)
            raise WriteUncertainError(reason)
        return answer

    async def _read_chunks(self, connection: ClientConnection) -> AsyncIterator[bytes]:
        async for chunk in connection.read_chunks(STALL_TIMEOUT_SECONDS):
            self._last_received_at = trio.current_time()
            yield chunk

    async def _connect(self) -> ClientConnection:
        if self._connection is None or not self._connection.is_clean():
            await self.close()
            self._connection = await ClientConnection.open(
                self._address.host,
                self._address.port,
                CONNECT_SECONDS,
                with_keepalive=True,
            )
        return self._connection


def _decode_header(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1").strip()


def _answer(status: int, data: bytes, era: int) -> ObjectAnswer:
    """Decode an answer, or raise the error that corresponds to its status."""
    if status == HTTPStatus.GONE:
        raise WatchGapError("the store no longer has these changes")
    if status not in ANSWERING_STATUSES:
        raise PlatformUnavailableError(f"the store answered {status}")
    body = _decode_json(data) if data else {}
    if not isinstance(body, Mapping):
        raise PlatformUnavailableError("the store's answer is not an object")
    return ObjectAnswer(status, body, era)


def _answer_revision(answer: ObjectAnswer) -> StoreRevision:
    return StoreRevision.of(answer.era, _revision(answer.body.get("at")))


def _decode_json(data: bytes) -> Any:
    try:
        return decode_json(data)
    except ValueError as error:
        raise PlatformUnavailableError("the store's answer is not JSON") from error


def _entries(body: Mapping, field: str) -> list:
    entries = body.get(field)
    if not isinstance(entries, list):
        raise PlatformUnavailableError(f"the store's answer has no {field}")
    return entries


def _revision(value: Any) -> int:
    if not _is_revision(value):
        raise PlatformUnavailableError("the store's answer has no revision")
    return value


def _is_revision(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_REVISION_NUMBER


def _object(item: Any) -> PlatformObject:
    """Decode an object; raise `PlatformUnavailableError` if it has no name."""
    for found in _objects((item,)):
        return found
    raise PlatformUnavailableError("the store's answer contains no named object")


def _objects(items: Iterable[Any]) -> Iterator[PlatformObject]:
    """Decode objects, ignoring those without a name, which can't be identified."""
    for item in items:
        metadata = item.get("metadata") if isinstance(item, Mapping) else None
        name = metadata.get("name") if isinstance(metadata, Mapping) else None
        if isinstance(name, str):
            revision = metadata.get("revision")
            known = revision if _is_revision(revision) else 0
            yield PlatformObject(name, item.get("spec"), known)


def _apply_changes(
    objects: dict[str, PlatformObject], changes: Iterable[ObjectChange]
) -> None:
    """Apply changes, in their order, to objects that may be newer than some of them."""
    for change in changes:
        changed = change.object
        known = objects.get(changed.name)
        if known is not None and 0 < changed.revision < known.revision:
            continue
        if change.is_gone:
            objects.pop(changed.name, None)
        else:
            objects[changed.name] = changed


def _changes(events: Iterable[Any]) -> Iterator[ObjectChange]:
    for event in events:
        if not isinstance(event, Mapping):
            continue
        for changed in _objects((event.get("object"),)):
            yield ObjectChange(changed, bool(event.get("gone")))
