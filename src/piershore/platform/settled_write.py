"""Conditional writes whose lost answers are settled."""

from __future__ import annotations

import trio

from piershore.core.configuration.stored_object import ObjectName, StoredObject
from piershore.core.ports import PlatformStore
from piershore.platform.exceptions import StaleVersionError, WriteUncertainError

ATTEMPTS = 4
PAUSE_SECONDS = 0.1


async def settled_put(
    store: PlatformStore,
    name: ObjectName,
    value: bytes | None,
    version: int,
    write_id: str,
) -> StoredObject:
    """Write, and learn for certain whether it took effect.

    A lost answer is settled by the same conditional write again, never by a
    read, since reads may be stale: it conflicts if the first took effect, and
    the conflict names the last writes.
    """
    for attempt in range(ATTEMPTS):
        try:
            return await store.put(name, value, version, write_id)
        except StaleVersionError as error:
            current = error.current
            if current is not None and write_id in current.write_ids:
                return current
            if value is None and current is None and attempt:
                # The first removal took effect, and its answer was lost.
                return StoredObject(name, version + 1, None, (write_id,))
            raise
        except WriteUncertainError:
            if attempt == ATTEMPTS - 1:
                raise
        await trio.sleep(PAUSE_SECONDS * 2**attempt)
    raise AssertionError("unreachable")
