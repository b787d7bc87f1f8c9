"""Errors of the platform's object API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from piershore.errors import PiershoreError

if TYPE_CHECKING:
    from piershore.core.configuration.stored_object import StoredObject
    from piershore.platform.object_client import PlatformObject


class PlatformUnavailableError(PiershoreError):
    """The platform is unreachable or too slow; nothing was written."""

    code = "platform_unavailable"


class WriteUncertainError(PiershoreError):
    """The answer to a write was lost; the write may have taken effect."""

    code = "write_uncertain"


class WatchGapError(PiershoreError):
    """The watch missed changes; the state must be listed again."""

    code = "watch_gap"


class StaleVersionError(PiershoreError):
    """The object is no longer at the version that a conditional write expects.

    `current` is the object as it is now; None if it doesn't exist.
    """

    code = "version_conflict"

    def __init__(self, message: str, current: StoredObject | None) -> None:
        super().__init__(message)
        self.current = current


class InvalidObjectError(PiershoreError):
    """The content of an object in the platform's store is invalid."""

    code = "invalid_object"


class ObjectConflictError(PiershoreError):
    """An object is no longer at the revision that a conditional write expects.

    `current` is the object as it is now; None if it doesn't exist.
    """

    code = "object_conflict"

    def __init__(self, message: str, current: PlatformObject | None) -> None:
        super().__init__(message)
        self.current = current
