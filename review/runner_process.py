"""A model runner as a process of its own, so that it can be killed.

It prints a line for all that it does; the first one is its address.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from harness import Engine, Memory, Record, Store


class PrintedRecord(Record):
    """A record on standard output."""

    def __init__(self) -> None:
        super().__init__(Path("/dev/null").parent, "null")

    def note(self, text: str) -> None:
        """Print a line."""
        print(text, flush=True)


async def run(name: str, zone: str, service: str, pace: float) -> None:
    """Serve until killed."""
    record = PrintedRecord()
    engine = Engine(record, Store(record), Memory(), name, zone, service)
    engine.pace, engine.unframed, engine.notes_events = pace, True, True
    await engine.start()
    print(f"address {engine.address}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(*sys.argv[1:4], float(sys.argv[4])))
