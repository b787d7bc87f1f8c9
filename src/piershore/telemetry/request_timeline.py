"""The timeline of one request, from the logs of several processes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import datetime

import orjson

CONTEXT_SECONDS = 3.0
"""Context events up to this long before a request's first line are included: they may
explain its outcome."""
CONTEXT_EVENTS = frozenset(
    {
        "configuration_in_force",
        "dependency_lost",
        "dependency_regained",
        "endpoint_ejected",
        "endpoint_left",
        "endpoint_limit_changed",
        "endpoint_speed_learned",
        "endpoint_told",
        "process_started",
        "store_returned",
        "process_stopping",
        "process_stopped",
        "internal_error",
        "events_omitted",
    }
)
LINE_PREFIX = b'{"time"'
HIDDEN_FIELDS = frozenset({"time", "box", "event", "request"})


@dataclass(frozen=True)
class LogLine:
    """One decoded log line; `at` is the time by the clock of its box."""

    at: datetime
    box: str
    event: str
    request: str
    fields: Mapping[str, object]

    @property
    def endpoints(self) -> frozenset[str]:
        """The endpoints that the line names."""
        names = (self.fields.get("endpoint"), self.fields.get("target"))
        return frozenset(str(name) for name in names if name)


@dataclass(frozen=True)
class TimelineEntry:
    """A line of the timeline; `seconds` are counted from the request's first line."""

    seconds: float
    line: LogLine
    is_context: bool

    def as_json(self) -> dict:
        """Return a dictionary for JSON output."""
        return {
            "seconds": round(self.seconds, 4),
            "box": self.line.box,
            "event": self.line.event,
            "is_context": self.is_context,
            **self.line.fields,
        }

    def as_text(self) -> str:
        """Return one line of text."""
        mark = "~" if self.is_context else " "
        fields = (
            f"{key}={_format_value(value)}" for key, value in self.line.fields.items()
        )
        name = self.line.event.replace("_", " ")
        return (
            f"{self.seconds:9.3f} s {mark} {self.line.box}: {name} {' '.join(fields)}"
        )


def read_lines(texts: Iterable[bytes]) -> Iterator[LogLine]:
    """Decode log lines; ignore a prefix, and skip texts that aren't log lines."""
    for text in texts:
        start = text.find(LINE_PREFIX)
        while start >= 0:
            line = _decode(text[start:])
            if line is not None:
                yield line
                break
            # A line that was cut off by a kill may be followed by a complete one.
            start = text.find(LINE_PREFIX, start + 1)


def _decode(text: bytes) -> LogLine | None:
    try:
        record = orjson.loads(text)
        return LogLine(
            datetime.fromisoformat(record["time"]),
            str(record["box"]),
            str(record["event"]),
            str(record.get("request", "")),
            {k: v for k, v in record.items() if k not in HIDDEN_FIELDS},
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return None


def build_timeline(lines: Iterable[LogLine], request: str) -> Iterator[TimelineEntry]:
    """Yield the lines of a request by time, together with their context.

    Context is what the request's boxes logged about themselves or about its endpoints,
    from `CONTEXT_SECONDS` before its first line to its last.
    """
    lines = sorted(lines, key=lambda line: line.at)
    request_lines = [line for line in lines if line.request == request]
    if not request_lines:
        return
    boxes = {line.box for line in request_lines}
    endpoints = frozenset().union(*(line.endpoints for line in request_lines))
    first_at, last_at = request_lines[0].at, request_lines[-1].at
    for line in lines:
        seconds = (line.at - first_at).total_seconds()
        if line.request == request:
            yield TimelineEntry(seconds, line, is_context=False)
        elif (
            line.event in CONTEXT_EVENTS
            and seconds >= -CONTEXT_SECONDS
            and line.at <= last_at
            and _is_relevant(line, boxes, endpoints)
        ):
            yield TimelineEntry(seconds, line, is_context=True)


def _is_relevant(line: LogLine, boxes: set[str], endpoints: frozenset[str]) -> bool:
    if line.endpoints:
        return line.box in boxes and bool(line.endpoints & endpoints)
    return line.box in boxes


def _format_value(value: object) -> str:
    """Return a value as one word; nested records as comma-separated fields."""
    if isinstance(value, list):
        return "[" + ";".join(map(_format_value, value)) + "]"
    if isinstance(value, dict):
        return ",".join(f"{name}={_format_value(item)}" for name, item in value.items())
    text = str(value)
    return orjson.dumps(text).decode() if " " in text or not text else text
