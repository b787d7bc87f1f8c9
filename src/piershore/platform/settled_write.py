"""Conditional writes whose lost answers are settled."""

from __future__ import annotations

import trio

from piershore.core.configuration.stored_object import ObjectName, StoredObject
from piershore.core.fleet.store_revision import era_of
from piershore.core.ports import PlatformStore
from piershore.platform.exceptions import (
    PlatformUnavailableError,
    StaleVersionError,
    WriteUncertainError,
)

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

    A write that says an earlier era than the store's is made again: the store came
    back meanwhile, and by its version it would be older than what came before it. A
    conflict proves nothing then: what took effect before may be in force elsewhere.
    """
    era = store.era
    for attempt in range(ATTEMPTS):
        if attempt:
            await trio.sleep(PAUSE_SECONDS * 2 ** (attempt - 1))
        try:
            written = await _put_once(
                store, name, value, version, write_id, is_again=attempt > 0
            )
        except StaleVersionError as error:
            if attempt and store.era > era:
                raise WriteUncertainError("the store has come back since") from error
            raise
        if written is None:
            continue
        if written.value is None or era_of(written.version) >= store.era:
            return written
        value, version = written.value, written.version
    raise WriteUncertainError(f"the answers to {ATTEMPTS} writes were lost")


async def _put_once(
    store: PlatformStore,
    name: ObjectName,
    value: bytes | None,
    version: int,
    write_id: str,
    *,
    is_again: bool,
) -> StoredObject | None:
    """Write once; return the object if it holds the write, None if that isn't known."""
    try:
        return await store.put(name, value, version, write_id)
    except WriteUncertainError:
        return None
    except PlatformUnavailableError:
        if not is_again:
            raise
        return None
    except StaleVersionError as error:
        current = error.current
        if current is not None and write_id in current.write_ids:
            return current
        if value is None and current is None and is_again:
            # The first removal took effect, and its answer was lost.
            return StoredObject(name, version + 1, None, (write_id,))
        raise
