"""The events of a stream that were delivered to the caller, across endpoints."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from piershore.core.streams.event_splitter import StreamEvent


class MissingEventError(Exception):
    """The next event doesn't follow the last one that was delivered."""


class DeliveredEvents:
    """Delivers each event once and in order."""

    def __init__(self) -> None:
        self._last: int | None = None
        self._count = 0

    @property
    def last_number(self) -> int | None:
        """Number of the last delivered event."""
        return self._last

    @property
    def count(self) -> int:
        """Events delivered so far."""
        return self._count

    def filter_new(self, events: Iterable[StreamEvent]) -> Iterator[StreamEvent]:
        """Yield the events not delivered before; raise `MissingEventError` at a gap."""
        for event in events:
            if event.number is not None and not self._is_next(event.number):
                continue
            self._count += 1
            yield event

    def _is_next(self, number: int) -> bool:
        if self._last is not None:
            if number <= self._last:
                return False
            if number != self._last + 1:
                raise MissingEventError(f"{number} follows {self._last}")
        self._last = number
        return True
