"""Conditional writes whose outcome is determined even if answers are lost."""

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

MAX_ATTEMPTS = 4
BASE_BACKOFF_SECONDS = 0.1


async def settled_put(
    store: PlatformStore,
    name: ObjectName,
    value: bytes | None,
    version: int,
    write_id: str,
) -> StoredObject:
    """Write, and find out whether the write took effect.

    After a lost answer the same conditional write is repeated. A read couldn't tell,
    since reads may be stale. The repeated write conflicts if the first one took effect,
    and the conflict contains the ids of the last writes.

    The write is also made again if its result has an earlier era than the store: the
    store was restored from an older copy meanwhile, and the version would be older than
    those accepted before the restore. A conflict proves nothing in that case, because
    an attempt that took effect before the restore may be in force elsewhere.

    Raise `StaleVersionError` if the object has changed, `WriteUncertainError` if
    the outcome stays unknown, and `PlatformUnavailableError` if the store is
    unavailable at the first attempt.
    """
    era = store.era
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await trio.sleep(BASE_BACKOFF_SECONDS * 2 ** (attempt - 1))
        try:
            written = await _put_once(
                store, name, value, version, write_id, is_retry=attempt > 0
            )
        except StaleVersionError as error:
            if attempt and store.era > era:
                raise WriteUncertainError(
                    "the store was restored from an older copy meanwhile"
                ) from error
            raise
        if written is None:
            continue
        if written.value is None or era_of(written.version) >= store.era:
            return written
        value, version = written.value, written.version
    raise WriteUncertainError(f"the answers to {MAX_ATTEMPTS} writes were lost")


async def _put_once(
    store: PlatformStore,
    name: ObjectName,
    value: bytes | None,
    version: int,
    write_id: str,
    *,
    is_retry: bool,
) -> StoredObject | None:
    """Write once; return the object that contains the write, or None if unknown."""
    try:
        return await store.put(name, value, version, write_id)
    except WriteUncertainError:
        return None
    except PlatformUnavailableError:
        if not is_retry:
            raise
        return None
    except StaleVersionError as error:
        current = error.current
        if current is not None and write_id in current.write_ids:
            return current
        if value is None and current is None and is_retry:
            # An earlier attempt removed the object, and its answer was lost.
            return StoredObject(name, version + 1, None, (write_id,))
        raise
