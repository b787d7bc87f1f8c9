"""The gateway's log: one JSON object per line on standard output.

Writing never blocks: lines go to a bounded buffer, and lines that don't fit, since the
reader of the output is too slow, are dropped and counted.
"""

from __future__ import annotations

import logging as standard_logging
import os
import re
import select
import traceback
from collections import deque
from dataclasses import fields
from datetime import datetime, UTC

import orjson
import trio
from absl import logging

from piershore.telemetry.events import EventsOmitted, InternalError, LogEvent

MAX_LINES_PER_SECOND = 300
"""Lines that report no failure; a gateway under its usual load writes some 30."""
MAX_BUFFERED_BYTES = 1_000_000
"""Buffer for a slow reader: some seconds of lines at the maximum rate."""
FLUSH_SECONDS = 0.25
"""Interval between batches of lines: each write costs a system call."""
MAX_WRITE_BYTES = select.PIPE_BUF
"""Bytes written in one call: a pipe takes up to this many atomically. With larger
writes, readers that received only a part of one lost up to 0.2 s of a busy gateway's
lines."""
STDOUT_FILENO = 1
MAX_TRACEBACK_LINES = 6

_WORD_START = re.compile(r"(?<!^)(?=[A-Z])")


class _BufferHandler(standard_logging.Handler):
    """Appends formatted records to a bounded buffer."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: deque[bytes] = deque()
        self.size = 0
        self.omitted = 0

    def emit(self, record: standard_logging.LogRecord) -> None:
        line = record.getMessage().encode() + b"\n"
        if self.size + len(line) > MAX_BUFFERED_BYTES:
            self.omitted += 1
            return
        self.lines.append(line)
        self.size += len(line)


class EventLog:
    """Writes typed events; the rate limit doesn't apply to events of failures."""

    def __init__(self, box: str, output: int = STDOUT_FILENO) -> None:
        self._box = box
        self._output = output
        self._handler = _BufferHandler()
        self._logger = logging.ABSLLogger(f"piershore.{box}")
        self._logger.addHandler(self._handler)
        self._line_budget = float(MAX_LINES_PER_SECOND)
        self._refilled_at = 0.0
        self._schemas: dict[type[LogEvent], tuple[str, tuple[str, ...]]] = {}

    @property
    def omitted(self) -> int:
        """Lines dropped since the last `EventsOmitted` line."""
        return self._handler.omitted

    def start(self) -> None:
        """Make writes to the output non-blocking."""
        os.set_blocking(self._output, False)

    def write(self, event: LogEvent, *, is_failure: bool = False) -> None:
        """Write one event; unless it is a failure, the rate limit may drop it."""
        if not is_failure and not self._consume_line_budget():
            self._handler.omitted += 1
            return
        name, field_names = self._schema_of(type(event))
        record = {"time": datetime.now(UTC).isoformat(), "box": self._box}
        record["event"] = name
        for field_name in field_names:
            value = getattr(event, field_name)
            record[field_name] = round(value, 4) if type(value) is float else value
        self._logger.info("%s", orjson.dumps(record).decode())

    def write_internal_error(self, task: str, error: Exception) -> None:
        """Write an unexpected exception with the end of its traceback."""
        traceback_end = "".join(
            traceback.format_exception(error)[-MAX_TRACEBACK_LINES:]
        )
        self.write(InternalError(task, repr(error), traceback_end), is_failure=True)

    async def run(self) -> None:
        """Flush the buffer at regular intervals."""
        while True:
            await trio.sleep(FLUSH_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Write what the output accepts without blocking."""
        handler = self._handler
        if handler.omitted and not handler.size:
            count, handler.omitted = handler.omitted, 0
            self.write(EventsOmitted(count), is_failure=True)
        while handler.lines:
            batch = self._next_batch()
            try:
                written = os.write(self._output, batch)
            except (BlockingIOError, BrokenPipeError):
                return
            self._remove_written(written)
            if written < len(batch):
                return

    def _next_batch(self) -> bytes:
        """Return the lines for the next write, at least one line."""
        lines: list[bytes] = []
        size = 0
        for line in self._handler.lines:
            size += len(line)
            if lines and size > MAX_WRITE_BYTES:
                break
            lines.append(line)
        return b"".join(lines)

    def _remove_written(self, written: int) -> None:
        handler = self._handler
        handler.size -= written
        while written:
            line = handler.lines.popleft()
            if len(line) > written:
                handler.lines.appendleft(line[written:])
                return
            written -= len(line)

    def _consume_line_budget(self) -> bool:
        now = trio.current_time()
        refill = (now - self._refilled_at) * MAX_LINES_PER_SECOND
        self._line_budget = min(float(MAX_LINES_PER_SECOND), self._line_budget + refill)
        self._refilled_at = now
        if self._line_budget < 1:
            return False
        self._line_budget -= 1
        return True

    def _schema_of(self, event_type: type[LogEvent]) -> tuple[str, tuple[str, ...]]:
        if event_type not in self._schemas:
            name = _WORD_START.sub("_", event_type.__name__).lower()
            self._schemas[event_type] = (
                name,
                tuple(field.name for field in fields(event_type)),
            )
        return self._schemas[event_type]
