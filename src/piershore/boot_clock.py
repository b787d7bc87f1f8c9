"""The clock of all event loops: it goes on while the box is suspended."""

from __future__ import annotations

import time
from collections.abc import Callable

import trio

BOOT_TIME = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""The steady clock, where a system has no other."""


def read_boot_time() -> float:
    """Return the seconds since the box was started, suspended or not."""
    return time.clock_gettime(BOOT_TIME)


class BootClock(trio.abc.Clock):
    """Counts the time in which the box was suspended, as the rest of the world does.

    The steady clock doesn't: a process that wakes would go on for seconds with callers
    who have left, answers that are overdue and views of the fleet that are old, and
    take all of them for fresh.
    """

    def __init__(self, read: Callable[[], float] = read_boot_time) -> None:
        self._read = read

    def start_clock(self) -> None:
        """Do nothing: the clock always goes."""

    def current_time(self) -> float:
        """Return the present time in seconds."""
        return self._read()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline."""
        return deadline - self._read()
