"""Operators' edits: validation, conditional write, differences on a conflict."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from uuid import uuid4

import orjson

from piershore.core.configuration.codec import decode, encode, structure
from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.exceptions import InvalidObjectError
from piershore.core.configuration.objects import (
    AccountTemplate,
    ClientAccount,
    EndpointStatus,
    ObjectKind,
    ObjectSpec,
    Service,
)
from piershore.core.configuration.stored_object import ObjectName, StoredObject
from piershore.core.fleet.store_revision import era_of
from piershore.core.outcome import Outcome
from piershore.core.ports import PlatformStore
from piershore.core.refusal_reason import RefusalReason
from piershore.gateway.exceptions import RequestRefusedError
from piershore.platform.exceptions import (
    PlatformUnavailableError,
    StaleVersionError,
    WriteUncertainError,
)
from piershore.platform.settled_write import settled_put

DRAIN_ATTEMPTS = 5
RETRY_AFTER_SECONDS = 2.0
RESTORE_RETRY_SECONDS = 1.0
"""After the store was restored from an older copy, the gateways write the edits that it
lost again within about this time."""

EDITABLE_TYPES = {
    ObjectKind.TEMPLATE: AccountTemplate,
    ObjectKind.ACCOUNT: ClientAccount,
    ObjectKind.SERVICE: Service,
}


@dataclass(frozen=True)
class FieldDifference:
    """A field that differs between the operator's edit and the current object."""

    path: str
    yours: object
    current: object


class EditConflictError(RequestRefusedError):
    """The object has changed since the version that the operator edited.

    `version` is the current version, 0 if the object doesn't exist.
    """

    def __init__(
        self, message: str, version: int, differences: tuple[FieldDifference, ...]
    ) -> None:
        super().__init__(RefusalReason.VERSION_CONFLICT, message)
        self.version = version
        self.differences = differences


class ConfigEditor:
    """Validates operators' edits and writes them to the platform's store.

    If a write returns, the edit is accepted: it is stored and in force in `view`, and
    `on_accepted` was called with it. Otherwise `RequestRefusedError` is raised.
    `seconds_until_settled` returns for how many more seconds deletions are refused
    after the store was restored from an older copy.
    """

    def __init__(
        self,
        store: PlatformStore,
        view: ConfigView,
        on_accepted: Callable[[StoredObject], None],
        seconds_until_settled: Callable[[], float],
    ) -> None:
        self._store = store
        self._view = view
        self._on_accepted = on_accepted
        self._seconds_until_settled = seconds_until_settled

    async def read(self, name: ObjectName) -> StoredObject:
        """Return the newer one of the platform's and this gateway's version.

        Without the platform, return the version in force at this gateway.
        """
        known = self._view.stored(name.kind, name.name)
        try:
            stored = await self._store.get(name)
        except PlatformUnavailableError:
            stored = None
        newest = max(
            (s for s in (known, stored) if s is not None),
            key=lambda s: s.version,
            default=None,
        )
        if newest is None or newest.value is None:
            raise RequestRefusedError(
                RefusalReason.NOT_FOUND, f"there is no {name.kind} {name.name!r}"
            )
        return newest

    async def put(self, name: ObjectName, data: object, version: int) -> StoredObject:
        """Replace an object at `version`, or create it if `version` is 0."""
        spec = self._check(name, data)
        return await self._write(name, encode(spec), version)

    async def patch(
        self, name: ObjectName, changes: object, version: int
    ) -> StoredObject:
        """Apply a merge patch (RFC 7396) to an object at `version`."""
        current = await self.read(name)
        merged = _merge(orjson.loads(current.value), changes)
        if current.version != version:
            self._raise_conflict(name, current, orjson.dumps(merged))
        return await self.put(name, merged, version)

    async def delete(self, name: ObjectName, version: int) -> StoredObject:
        """Delete an object that no account refers to."""
        users = list(self._referring_accounts(name))
        if users:
            raise RequestRefusedError(
                RefusalReason.INVALID_FIELD,
                f"{name.kind} {name.name!r} is in use",
                findings=tuple(f"used by {user}" for user in users),
            )
        return await self._write(name, None, version)

    async def drain(self, endpoint: str, drain: bool) -> StoredObject:
        """Set or clear an endpoint's drain; retry if its entry changes meanwhile."""
        name = ObjectName(ObjectKind.ENDPOINT, endpoint)
        current = await self.read(name)
        for _ in range(DRAIN_ATTEMPTS):
            status = replace(decode(EndpointStatus, current.value), drain=drain)
            try:
                return await self._write_settled(name, encode(status), current.version)
            except StaleVersionError as error:
                if error.current is None or error.current.value is None:
                    break
                current = error.current
        raise RequestRefusedError(
            RefusalReason.VERSION_CONFLICT, f"{endpoint} keeps changing"
        )

    def _check(self, name: ObjectName, data: object) -> ObjectSpec:
        try:
            spec = structure(EDITABLE_TYPES[name.kind], data)
        except InvalidObjectError as error:
            raise RequestRefusedError(
                RefusalReason.INVALID_FIELD, error.message, findings=error.findings
            ) from error
        findings = tuple(self._broken_references(spec))
        if findings:
            raise RequestRefusedError(
                RefusalReason.INVALID_FIELD, "; ".join(findings), findings=findings
            )
        return spec

    def _broken_references(self, spec: ObjectSpec) -> Iterator[str]:
        if not isinstance(spec, ClientAccount):
            return
        if self._view.get(ObjectKind.TEMPLATE, spec.template) is None:
            yield f"there is no template {spec.template!r} @ $.template"
        for index, service in enumerate(spec.services):
            if self._view.get(ObjectKind.SERVICE, service) is None:
                yield f"there is no service {service!r} @ $.services[{index}]"

    def _referring_accounts(self, name: ObjectName) -> Iterator[str]:
        for account, spec in self._view.all(ObjectKind.ACCOUNT):
            uses_template = (
                name.kind is ObjectKind.TEMPLATE and spec.template == name.name
            )
            uses_service = (
                name.kind is ObjectKind.SERVICE and name.name in spec.services
            )
            if uses_template or uses_service:
                yield account

    async def _write(
        self, name: ObjectName, value: bytes | None, version: int
    ) -> StoredObject:
        try:
            return await self._write_settled(name, value, version)
        except StaleVersionError as error:
            self._raise_conflict(name, error.current, value)
            raise AssertionError("unreachable") from error

    async def _write_settled(
        self, name: ObjectName, value: bytes | None, version: int
    ) -> StoredObject:
        try:
            if value is None:
                await self._check_deletion_allowed(name)
            written = await settled_put(self._store, name, value, version, uuid4().hex)
        except StaleVersionError as error:
            self._check_not_lost(name, error)
            raise
        except PlatformUnavailableError as error:
            raise RequestRefusedError(
                RefusalReason.PLATFORM_UNAVAILABLE,
                "the platform is out; nothing was stored",
                retry_after=RETRY_AFTER_SECONDS,
            ) from error
        except WriteUncertainError as error:
            raise RequestRefusedError(
                RefusalReason.PLATFORM_UNAVAILABLE,
                "it can't be known whether the edit was stored: read it again",
                Outcome.UNKNOWN,
                retry_after=RETRY_AFTER_SECONDS,
            ) from error
        self._view.apply(written)
        self._on_accepted(written)
        return written

    async def _check_deletion_allowed(self, name: ObjectName) -> None:
        """Refuse a deletion just after the store was restored from an older copy.

        A gateway that hasn't read the store since then would consider the deleted
        object lost and write it again.
        """
        await self._store.get(name)  # Updates the store's era from the answer.
        if era_of(self._view.complete_to) < self._store.era:
            raise _restore_in_progress()
        if seconds := self._seconds_until_settled():
            raise _restore_in_progress(seconds)

    def _check_not_lost(self, name: ObjectName, error: StaleVersionError) -> None:
        """Refuse an edit that conflicts only because the store lost the version.

        A conflict would make the operator edit the older version that the store has
        until the lost one is written again.
        """
        known = self._view.stored(name.kind, name.name)
        version = 0 if error.current is None else error.current.version
        if known is None or version >= known.version:
            return
        if era_of(known.version) < self._store.era:
            raise _restore_in_progress() from error

    @staticmethod
    def _raise_conflict(
        name: ObjectName, current: StoredObject | None, wanted: bytes | None
    ) -> None:
        version = current.version if current is not None else 0
        exists = current is not None and current.value is not None
        theirs = orjson.loads(current.value) if exists else None
        yours = orjson.loads(wanted) if wanted is not None else None
        raise EditConflictError(
            f"{name.kind} {name.name!r} is at version {version} now",
            version if exists else 0,
            tuple(_differences("$", yours, theirs)),
        )


def _restore_in_progress(seconds: float = RESTORE_RETRY_SECONDS) -> RequestRefusedError:
    return RequestRefusedError(
        RefusalReason.PLATFORM_UNAVAILABLE,
        "the platform came back from an older copy; what it lost is written again",
        retry_after=seconds,
    )


def _merge(target: object, changes: object) -> object:
    if not isinstance(changes, dict):
        return changes
    merged = dict(target) if isinstance(target, dict) else {}
    for key, value in changes.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = _merge(merged.get(key), value)
    return merged


def _differences(path: str, yours: object, theirs: object) -> Iterator[FieldDifference]:
    if isinstance(yours, dict) and isinstance(theirs, dict):
        for key in sorted({*yours, *theirs}):
            yield from _differences(f"{path}.{key}", yours.get(key), theirs.get(key))
    elif yours != theirs:
        yield FieldDifference(path, yours, theirs)
