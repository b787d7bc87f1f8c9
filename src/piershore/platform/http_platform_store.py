"""The platform's object API over HTTP."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator

import httpx
import orjson

from piershore.core.configuration.objects import ObjectKind
from piershore.core.configuration.stored_object import (
    ObjectName,
    Snapshot,
    StoredObject,
)
from piershore.core.ports import Box, BoxList, BoxRole, BoxState, PlatformStore
from piershore.platform.exceptions import (
    PlatformUnavailableError,
    StaleVersionError,
    WatchGapError,
    WriteUncertainError,
)

CALL_TIMEOUT_SECONDS = 2.0
WATCH_SILENCE_SECONDS = 5.0
CONFIGURATION_KINDS = ",".join(k for k in ObjectKind if k is not ObjectKind.SLOTS)
"""Slot tables change with each lease; only agents read them, one by one."""


class HttpPlatformStore(PlatformStore, BoxList):
    """Reads, conditional writes, watches and the box list of one platform."""

    def __init__(self, base_url: str) -> None:
        self._client = httpx.AsyncClient(
            base_url=base_url, timeout=CALL_TIMEOUT_SECONDS, trust_env=False
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def get(self, name: ObjectName) -> StoredObject | None:
        """Read one object; the answer may be stale."""
        response = await self._read(f"/objects/{name.kind}/{name.name}")
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        return decode_stored(response.json())

    async def list(self) -> Snapshot:
        """Read all configuration objects; the answer may be stale."""
        body = (await self._read(f"/objects?kinds={CONFIGURATION_KINDS}")).json()
        objects = tuple(decode_stored(item) for item in body["objects"])
        return Snapshot(body["revision"], objects)

    async def put(
        self, name: ObjectName, value: bytes | None, version: int, write_id: str
    ) -> StoredObject:
        """Write if the object's version is still `version`."""
        body = {"value": encode_value(value), "version": version, "write_id": write_id}
        path = f"/objects/{name.kind}/{name.name}"
        try:
            response = await self._client.put(path, content=orjson.dumps(body))
        except httpx.ConnectError as error:
            raise PlatformUnavailableError("the platform can't be reached") from error
        except httpx.HTTPError as error:
            raise WriteUncertainError("the write's answer was lost") from error
        if response.status_code == httpx.codes.CONFLICT:
            current = response.json()
            raise StaleVersionError(
                f"{name.kind} {name.name} has changed",
                decode_stored(current) if current else None,
            )
        if response.status_code == httpx.codes.SERVICE_UNAVAILABLE:
            raise PlatformUnavailableError("the platform is out of service")
        if response.is_error:
            raise WriteUncertainError(f"the platform answered {response.status_code}")
        return decode_stored(response.json())

    async def watch(self, revision: int) -> AsyncIterator[StoredObject | int]:
        """Yield changes after `revision`, and the revision when all is told.

        The platform repeats its revision while nothing changes, so a silent
        watch is a broken one.
        """
        timeout = httpx.Timeout(CALL_TIMEOUT_SECONDS, read=WATCH_SILENCE_SECONDS)
        path = f"/watch?from={revision}&kinds={CONFIGURATION_KINDS}"
        try:
            async with self._client.stream("GET", path, timeout=timeout) as response:
                if response.status_code == httpx.codes.GONE:
                    raise WatchGapError(f"changes after {revision} are not kept")
                if response.is_error:
                    raise PlatformUnavailableError("the platform refuses the watch")
                async for line in response.aiter_lines():
                    item = orjson.loads(line)
                    if "gap" in item:
                        raise WatchGapError("the watch reported a gap")
                    if "revision" in item:
                        yield item["revision"]
                    else:
                        yield decode_stored(item)
        except httpx.HTTPError as error:
            raise PlatformUnavailableError("the watch broke") from error

    async def boxes(self) -> tuple[Box, ...]:
        """Return the boxes that the platform knows of."""
        body = (await self._read("/boxes")).json()
        return tuple(
            Box(
                name=item["name"],
                role=BoxRole(item["role"]),
                data_hall=item["data_hall"],
                peer_address=item["peer_address"],
                state=BoxState(item["state"]),
            )
            for item in body
        )

    async def _read(self, path: str) -> httpx.Response:
        try:
            response = await self._client.get(path)
        except httpx.HTTPError as error:
            raise PlatformUnavailableError("the platform can't be reached") from error
        if response.status_code >= httpx.codes.INTERNAL_SERVER_ERROR:
            raise PlatformUnavailableError("the platform is out of service")
        return response


def encode_value(value: bytes | None) -> str | None:
    """Return the text form of a value for JSON."""
    return None if value is None else base64.b64encode(value).decode()


def decode_stored(item: dict) -> StoredObject:
    """Read an object from the platform's JSON."""
    value = item["value"]
    return StoredObject(
        name=ObjectName(ObjectKind(item["kind"]), item["name"]),
        version=item["version"],
        value=None if value is None else base64.b64decode(value),
        write_ids=tuple(item["write_ids"]),
    )
