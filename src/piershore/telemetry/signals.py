"""Waiting for the operating system to ask for a stop."""

from __future__ import annotations

import signal

import trio


async def wait_for_stop() -> None:
    """Return when the process gets SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return
