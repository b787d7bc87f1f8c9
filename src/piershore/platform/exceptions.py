"""Errors of the platform's object API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from piershore.errors import PiershoreError

if TYPE_CHECKING:
    from piershore.core.configuration.stored_object import StoredObject
    from piershore.platform.object_client import PlatformObject


class PlatformUnavailableError(PiershoreError):
    """The platform can't be reached or is too slow; nothing was written."""

    code = "platform_unavailable"


class WriteUncertainError(PiershoreError):
    """The answer to a write was lost; it may have taken effect."""

    code = "write_uncertain"


class WatchGapError(PiershoreError):
    """The watch missed changes; the state must be listed again."""

    code = "watch_gap"


class StaleVersionError(PiershoreError):
    """The object has changed since the version that the write named."""

    code = "version_conflict"

    def __init__(self, message: str, current: StoredObject | None) -> None:
        super().__init__(message)
        self.current = current


class InvalidObjectError(PiershoreError):
    """An object of the platform doesn't hold what it should."""

    code = "invalid_object"


class ObjectConflictError(PiershoreError):
    """An object isn't at the revision that a write named; `current` is as it is."""

    code = "object_conflict"

    def __init__(self, message: str, current: PlatformObject | None) -> None:
        super().__init__(message)
        self.current = current
