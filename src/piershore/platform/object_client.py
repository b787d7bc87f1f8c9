"""Reads and watches of the platform's object API, for one loop that follows it."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

import orjson
import trio

from piershore.core.fleet.endpoint import Address
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.http1.message import RequestHead
from piershore.platform.exceptions import PlatformUnavailableError, WatchGapError

CONNECT_SECONDS = 0.6
"""The store answers in a few ms; a lost first packet is sent again after 1 s."""
CALL_SECONDS = 1.5
"""Longest wait for an answer; a slow store takes 60 times its usual 4 ms."""
WATCH_SLACK_SECONDS = 0.8
"""How much later than asked for a waiting watch may answer."""
STATUS_OK = 200
STATUS_GONE = 410


@dataclass(frozen=True)
class PlatformObject:
    """An object: its name and what the operator or an endpoint put there."""

    name: str
    spec: Mapping


@dataclass(frozen=True)
class ObjectList:
    """All objects of a kind and the store's revision that they show."""

    objects: tuple[PlatformObject, ...]
    revision: int


@dataclass(frozen=True)
class ObjectChange:
    """An object that changed, or is gone."""

    object: PlatformObject
    is_gone: bool


@dataclass(frozen=True)
class ObjectChanges:
    """Changes in their order, complete up to `revision`."""

    changes: tuple[ObjectChange, ...]
    revision: int


class ObjectClient:
    """Keeps one connection to the store; one call at a time."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._connection: ClientConnection | None = None

    async def list(self, kind: str) -> ObjectList:
        """Read all objects of a kind, page by page.

        Raise `PlatformUnavailableError` when the store doesn't answer.
        """
        objects: list[PlatformObject] = []
        after = ""
        while True:
            query = f"?since_revision={after}" if after else ""
            body = await self._get(f"/objects/{kind}{query}", CALL_SECONDS)
            objects.extend(_object(item) for item in body["items"])
            if not body.get("more") or not body["items"]:
                return ObjectList(tuple(objects), int(body["at"]))
            after = objects[-1].name

    async def watch(self, kind: str, revision: int, wait: float) -> ObjectChanges:
        """Wait for changes after `revision`, at most `wait` seconds.

        Raise `WatchGapError` when that history is gone.
        """
        query = f"?watch={revision}&wait_ms={int(wait * 1_000)}"
        path = f"/objects/{kind}{query}"
        body = await self._get(path, wait + WATCH_SLACK_SECONDS)
        return ObjectChanges(tuple(_changes(body)), int(body["at"]))

    async def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            await self._connection.close()
            self._connection = None

    async def _get(self, path: str, timeout: float) -> Mapping:
        try:
            with trio.fail_after(timeout + CONNECT_SECONDS):
                return await self._exchange(path)
        except (trio.TooSlowError, ExchangeBrokenError, NotConnectedError) as error:
            await self.close()
            raise PlatformUnavailableError(f"the store: {error}") from error
        except BaseException:
            with trio.CancelScope(shield=True):
                await self.close()
            raise

    async def _exchange(self, path: str) -> Mapping:
        if self._connection is None or not self._connection.is_clean():
            await self.close()
            self._connection = await ClientConnection.open(
                self._address.host, self._address.port, CONNECT_SECONDS
            )
        connection = self._connection
        headers = ((b"host", str(self._address).encode()),)
        await connection.send(RequestHead(b"GET", path.encode(), headers), b"")
        head = await connection.read_head()
        body = await connection.read_body()
        if not connection.end_exchange():
            await self.close()
        if head.status == STATUS_GONE:
            raise WatchGapError("the store no longer has these changes")
        if head.status != STATUS_OK:
            raise PlatformUnavailableError(f"the store answered {head.status}")
        return _decode(body)


def _decode(body: bytes) -> Mapping:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise PlatformUnavailableError("the store's answer is no JSON") from error


def _object(item: Mapping) -> PlatformObject:
    return PlatformObject(item["metadata"]["name"], item.get("spec") or {})


def _changes(body: Mapping) -> Iterator[ObjectChange]:
    for event in body["events"]:
        yield ObjectChange(_object(event["object"]), bool(event.get("gone")))
