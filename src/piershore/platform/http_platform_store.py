"""Stores piershore's own objects by the platform's object API."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from typing import TypeVar
from urllib.parse import urlsplit

import trio

from piershore.core.configuration.objects import ObjectKind
from piershore.core.configuration.stored_object import (
    ObjectName,
    Snapshot,
    StoredObject,
)
from piershore.core.fleet.endpoint import Address
from piershore.core.fleet.store_era import StoreEra
from piershore.core.fleet.store_revision import MAX_ERA, StoreRevision
from piershore.core.ports import Box, BoxList, BoxRole, BoxState, PlatformStore
from piershore.platform.exceptions import (
    InvalidObjectError,
    ObjectConflictError,
    StaleVersionError,
)
from piershore.platform.object_client import (
    ObjectChange,
    ObjectClient,
    PlatformObject,
)
from piershore.platform.object_findings import ObjectFindings

WATCH_SECONDS = 1.0
"""Maximum duration of one watch call; it returns then even without changes."""
CONFIGURATION_KIND = "piershore-configuration"
"""A single kind for all configuration objects, so that one list and one watch return
them all in the order of their changes. Their own kind is part of the name."""
SLOT_KIND = "piershore-slots"
"""Kind of slot tables. They change with each lease, and only agents read them, each by
its name, so they are not part of the list and watch of the configuration."""
BOX_KIND = "boxes"
KIND_SEPARATOR = ":"
MAX_WRITE_IDS = 8
"""Number of write ids kept in an object. By them a writer whose answer was lost finds
out whether its write took effect, even after later writes."""
MAX_IDLE_CLIENTS = 8
MAX_VERSION = 2**63 - 1
"""Versions are signed 64-bit integers on the wire."""

Result = TypeVar("Result")


class HttpPlatformStore(PlatformStore, BoxList):
    """Accesses the objects and the box list of one platform over HTTP.

    The spec of an object has its content in `value`, the ids of its last writes in
    `write_ids`, and the store's era at the time of the write in `era`. A version
    combines that era with the object's revision. With the era at the time of a read
    instead, the objects of a restored copy would look newer than those accepted after
    the copy was made. An object that was lost and is written again keeps the version
    under which it was accepted, in `version`.
    """

    def __init__(self, base_url: str) -> None:
        self._address = Address.parse(urlsplit(base_url).netloc)
        self._era = StoreEra()
        self._findings = ObjectFindings()
        self._idle: list[ObjectClient] = []
        self._write_ids: dict[ObjectName, tuple[int, tuple[str, ...]]] = {}

    @property
    def era(self) -> int:
        """The store's era according to its answers so far."""
        return self._era.value

    async def close(self) -> None:
        """Close the connections."""
        while self._idle:
            await self._idle.pop().close()

    async def get(self, name: ObjectName) -> StoredObject | None:
        """Read one object; the answer may be stale.

        Raise `InvalidObjectError` if another program has overwritten it.
        """
        kind, key = _store_key(name)
        found = await self._with_client(lambda client: client.get(kind, key))
        return None if found is None else self._decode(found)

    async def list(self) -> Snapshot:
        """Read all configuration objects; the answer may be stale."""
        listed = await self._with_client(lambda client: client.list(CONFIGURATION_KIND))
        objects = self._findings.readable(self._decode, listed.objects)
        return Snapshot(listed.revision, tuple(objects))

    async def put(
        self, name: ObjectName, value: bytes | None, version: int, write_id: str
    ) -> StoredObject:
        """Write if the object's version is still `version`.

        Raise `StaleVersionError` if it isn't, `WriteUncertainError` if the answer is
        lost.
        """
        try:
            return await self._with_client(
                lambda c: self._write(c, name, value, StoreRevision(version), write_id)
            )
        except ObjectConflictError as error:
            raise self._stale_error(name, error.current) from error

    async def restore(self, lost: StoredObject, version: int, write_id: str) -> None:
        """Write a lost object again, with the version under which it was accepted."""
        spec = {**_spec_of(lost.value, (write_id,)), "version": lost.version}
        try:
            await self._with_client(
                lambda c: self._create_or_replace(
                    c, lost.name, spec, StoreRevision(version)
                )
            )
        except ObjectConflictError as error:
            raise self._stale_error(lost.name, error.current) from error

    async def watch(self, revision: int) -> AsyncIterator[StoredObject | int]:
        """Yield changes after `revision`, and the revision reached after each batch."""
        reached = StoreRevision(revision)
        while True:
            batch = await self._with_client(
                lambda client, after=reached: client.watch(
                    CONFIGURATION_KIND, after, WATCH_SECONDS
                )
            )
            for change in self._findings.readable(self._decode_change, batch.changes):
                yield change
            reached = batch.revision
            yield reached

    async def boxes(self) -> tuple[Box, ...]:
        """Return the boxes that the platform knows of."""
        listed = await self._with_client(lambda c: c.list(BOX_KIND))
        return tuple(self._findings.readable(_decode_box, listed.objects))

    async def _write(
        self,
        client: ObjectClient,
        name: ObjectName,
        value: bytes | None,
        version: StoreRevision,
        write_id: str,
    ) -> StoredObject:
        if value is None:
            number = await self._revision_number(client, name, version)
            await client.remove(*_store_key(name), number)
            return StoredObject(name, version + 1, None, (write_id,))
        cached_version, cached_ids = self._write_ids.get(name, (0, ()))
        previous = cached_ids if cached_version == version else ()
        ids = (*previous, write_id)[-MAX_WRITE_IDS:]
        spec = {**_spec_of(value, ids), "era": self.era}
        return self._decode(await self._create_or_replace(client, name, spec, version))

    async def _create_or_replace(
        self,
        client: ObjectClient,
        name: ObjectName,
        spec: Mapping,
        version: StoreRevision,
    ) -> PlatformObject:
        kind, key = _store_key(name)
        if not version:
            return await client.create(kind, key, spec)
        number = await self._revision_number(client, name, version)
        return await client.replace(kind, key, spec, number)

    async def _revision_number(
        self, client: ObjectClient, name: ObjectName, version: StoreRevision
    ) -> int:
        """Return the store's revision number of a version.

        The store compares only numbers. The number of an earlier era may have been
        issued again, and an object that was lost and written again has a new one, so
        such a version is compared with the stored object. Raise `StaleVersionError` if
        they differ.
        """
        if version.era >= self.era:
            return version.number
        found = await client.get(*_store_key(name))
        if found is None or self._decode(found).version != version:
            raise self._stale_error(name, found)
        return found.revision

    def _stale_error(
        self, name: ObjectName, current: PlatformObject | None
    ) -> StaleVersionError:
        return StaleVersionError(
            f"{name.kind} {name.name} has changed",
            None if current is None else self._decode(current),
        )

    def _decode_change(self, change: ObjectChange) -> StoredObject:
        if not change.is_gone:
            return self._decode(change.object)
        # A tombstone: newer than this object, older than a later one of its name.
        name, version = _object_name(change.object), _version_of(change.object)
        return StoredObject(name, version + 1, None)

    def _decode(self, item: PlatformObject) -> StoredObject:
        name, version = _object_name(item), _version_of(item)
        value, ids = _content_of(item)
        self._write_ids[name] = (version, ids)
        return StoredObject(name, version, value, ids)

    async def _with_client(
        self, call: Callable[[ObjectClient], Awaitable[Result]]
    ) -> Result:
        async with self._client() as client:
            return await call(client)

    @asynccontextmanager
    async def _client(self) -> AsyncIterator[ObjectClient]:
        if self._idle:
            client = self._idle.pop()
        else:
            client = ObjectClient(self._address, self._era)
        try:
            yield client
        finally:
            if len(self._idle) < MAX_IDLE_CLIENTS:
                self._idle.append(client)
            else:
                with trio.CancelScope(shield=True):
                    await client.close()


def _store_key(name: ObjectName) -> tuple[str, str]:
    """Return the kind and the name under which the platform stores an object."""
    kind = SLOT_KIND if name.kind is ObjectKind.SLOTS else CONFIGURATION_KIND
    return kind, f"{name.kind}{KIND_SEPARATOR}{name.name}"


def _spec_of(value: bytes, write_ids: tuple[str, ...]) -> dict:
    return {"value": base64.b64encode(value).decode(), "write_ids": write_ids}


def _version_of(item: PlatformObject) -> StoreRevision:
    """Return the version under which an object was accepted."""
    spec = item.spec if isinstance(item.spec, Mapping) else {}
    accepted = spec.get("version")
    if type(accepted) is int and 0 < accepted <= MAX_VERSION:
        return StoreRevision(accepted)
    era = spec.get("era", 0)
    is_era = type(era) is int and 0 <= era <= MAX_ERA
    return StoreRevision.of(era if is_era else 0, item.revision)


def _content_of(item: PlatformObject) -> tuple[bytes, tuple[str, ...]]:
    """Return an object's value and write ids; raise `InvalidObjectError`."""
    try:
        value = base64.b64decode(item.spec["value"], validate=True)
        ids = tuple(item.spec["write_ids"])
    except (KeyError, TypeError, ValueError) as error:
        raise InvalidObjectError(f"{item.name!r} has no valid content") from error
    if not all(isinstance(write_id, str) for write_id in ids):
        raise InvalidObjectError(f"{item.name!r} has invalid write ids")
    return value, ids


def _object_name(item: PlatformObject) -> ObjectName:
    """Return an object's kind and name; raise `InvalidObjectError`."""
    kind, _, name = item.name.partition(KIND_SEPARATOR)
    try:
        _check_encodable(name)
        return ObjectName(ObjectKind(kind), name)
    except ValueError as error:
        raise InvalidObjectError(f"{item.name!r} is of an unknown kind") from error


def _check_encodable(*texts: str) -> None:
    """Raise ValueError if a text can't be sent to other boxes (a lone surrogate)."""
    for text in texts:
        text.encode()


def _decode_box(item: PlatformObject) -> Box:
    """Decode an entry of the box list; raise `InvalidObjectError`."""
    try:
        spec: Mapping = item.spec
        _check_encodable(item.name, spec["data_hall"])
        return Box(
            name=item.name,
            role=BoxRole(spec["role"]),
            data_hall=spec["data_hall"],
            peer_address=str(Address.parse(spec["peer_address"])),
            state=BoxState(spec["state"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise InvalidObjectError(f"box {item.name!r} is invalid") from error
