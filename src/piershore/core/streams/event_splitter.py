"""Server-sent events as they are cut out of a stream of bytes."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id:[ ]?(\d+)\s*$", re.MULTILINE)


@dataclass(frozen=True)
class StreamEvent:
    """One whole event as it was sent, and its number if it has one."""

    data: bytes
    number: int | None


class EventSplitter:
    """Cuts whole events out of the parts of a stream."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """What came after the last whole event."""
        return self._rest

    def feed(self, part: bytes) -> Iterator[StreamEvent]:
        """Yield the events that are whole now."""
        data = self._rest + part
        start = 0
        for end in EVENT_END.finditer(data):
            event = data[start : end.end()]
            start = end.end()
            found = EVENT_ID.search(event)
            yield StreamEvent(event, int(found[1]) if found else None)
        self._rest = data[start:]
