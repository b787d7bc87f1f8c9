"""The id of a server-sent event, from which any gateway can resume."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import quote, unquote

from piershore.core.streams.exceptions import InvalidEventIdError

SEPARATOR = "/"
PART_COUNT = 4


@dataclass(frozen=True)
class EventId:
    """A position in a stream: `next_index` is the first token not yet delivered."""

    endpoint: str
    incarnation: str
    generation: str
    next_index: int

    def encode(self) -> str:
        """Return the text for the `id` field of an event."""
        names = (self.endpoint, self.incarnation, self.generation)
        return SEPARATOR.join(
            [*(quote(n, safe="") for n in names), str(self.next_index)]
        )

    @classmethod
    def decode(cls, text: str) -> EventId:
        """Parse a `Last-Event-ID`; raise `InvalidEventIdError` if it is malformed."""
        parts = text.split(SEPARATOR)
        if len(parts) != PART_COUNT or not all(parts):
            raise InvalidEventIdError("the event id has not four parts")
        index = parts[-1]
        if not (index.isascii() and index.isdigit()) or len(index) > 12:
            raise InvalidEventIdError("the event id has no token index")
        names = [unquote(part) for part in parts[:-1]]
        return cls(*names, next_index=int(index))
