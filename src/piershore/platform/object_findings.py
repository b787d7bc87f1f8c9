"""Passes over objects that other programs wrote badly, and logs each finding once."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from piershore.core.bounded_mapping import put_newest
from piershore.platform.exceptions import InvalidObjectError
from piershore.telemetry.logs import log_state_change

MAX_REMEMBERED_FINDINGS = 512

Item = TypeVar("Item")
Decoded = TypeVar("Decoded")


class ObjectFindings:
    """The findings of one reader of the store."""

    def __init__(self) -> None:
        self._logged: dict[str, None] = {}

    def readable(
        self, decode: Callable[[Item], Decoded], items: Iterable[Item]
    ) -> Iterator[Decoded]:
        """Yield the decoded items, without those that `decode` finds invalid."""
        for item in items:
            try:
                yield decode(item)
            except InvalidObjectError as error:
                self._log(error.message)

    def _log(self, message: str) -> None:
        if message not in self._logged:
            log_state_change("invalid_object", message=message)
        put_newest(self._logged, message, None, MAX_REMEMBERED_FINDINGS)
