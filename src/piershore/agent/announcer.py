"""Publish this agent's address and incarnation in the platform's store."""

from __future__ import annotations

from dataclasses import replace
from uuid import uuid4

import trio

from piershore.core.configuration.codec import decode, encode
from piershore.core.configuration.objects import EndpointStatus, ObjectKind
from piershore.core.configuration.stored_object import ObjectName
from piershore.core.ports import PlatformStore
from piershore.errors import PiershoreError
from piershore.platform.settled_write import settled_put
from piershore.telemetry import metrics

RETRY_INTERVAL_SECONDS = 0.5


async def announce(store: PlatformStore, endpoint: str, status: EndpointStatus) -> None:
    """Write the endpoint's status, retrying until the platform accepts it."""
    name = ObjectName(ObjectKind.ENDPOINT, endpoint)
    while True:
        try:
            await _announce_once(store, name, status)
            return
        except PiershoreError as error:
            metrics.PLATFORM_ERRORS.labels(code=error.code).inc()
        await trio.sleep(RETRY_INTERVAL_SECONDS)


async def _announce_once(
    store: PlatformStore, name: ObjectName, status: EndpointStatus
) -> None:
    current = await store.get(name)
    version = current.version if current is not None else 0
    if current is not None and current.value is not None:
        # A drain set by an operator also applies to later incarnations.
        drain = decode(EndpointStatus, current.value).drain
        status = replace(status, drain=drain)
    await settled_put(store, name, encode(status), version, uuid4().hex)
