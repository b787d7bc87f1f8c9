"""Signals that tell a process to stop, taken until it has ended."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import trio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@contextmanager
def open_stop_receiver(*others: signal.Signals) -> Iterator[AsyncIterator[int]]:
    """Receive the signals to stop, and `others`.

    Once it closes, later signals to stop are ignored: the default would end the process
    while it finishes what is under way, or while the interpreter ends.
    """
    early: list[int] = []
    for number in STOP_SIGNALS:
        signal.signal(number, lambda number, frame: early.append(number))
    try:
        with trio.open_signal_receiver(*STOP_SIGNALS, *others) as received:
            for number in early:
                signal.raise_signal(number)
            yield received
    finally:
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)


async def wait_for_stop() -> None:
    """Return when the process is told to stop."""
    with open_stop_receiver() as received:
        async for _ in received:
            return
