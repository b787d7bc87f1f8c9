"""Splitting of a stream of bytes into server-sent events."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id:[ ]?(\d+)\s*$", re.MULTILINE)


@dataclass(frozen=True)
class StreamEvent:
    """One complete event as it was sent, and its number if it has one."""

    data: bytes
    number: int | None


class EventSplitter:
    """Splits the chunks of a stream into complete events."""

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return self._remainder

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Add received bytes and yield the events that are complete now."""
        data = self._remainder + chunk
        start = 0
        for end in EVENT_END.finditer(data):
            event = data[start : end.end()]
            start = end.end()
            found = EVENT_ID.search(event)
            yield StreamEvent(event, int(found[1]) if found else None)
        self._remainder = data[start:]
