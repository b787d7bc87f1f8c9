"""Signals that stop a process, handled until it has ended."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import trio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@contextmanager
def open_stop_receiver(*others: signal.Signals) -> Iterator[AsyncIterator[int]]:
    """Receive the stop signals, and `others`.

    After it closes, further stop signals are ignored: the default action would end the
    process while it finishes its current work, or while the interpreter shuts down.
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
    """Return when the process receives a stop signal."""
    with open_stop_receiver() as received:
        async for _ in received:
            return
