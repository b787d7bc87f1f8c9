"""The clock of all event loops, which continues while the box is suspended."""

from __future__ import annotations

import time
from collections.abc import Callable

import trio

BOOT_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""The monotonic clock on systems without `CLOCK_BOOTTIME`."""


def read_boot_time() -> float:
    """Return the seconds since the box was booted, including suspensions."""
    return time.clock_gettime(BOOT_CLOCK_ID)


class BootClock(trio.abc.Clock):
    """A clock that includes the time during which the box was suspended.

    The monotonic clock doesn't. After a suspension, a process would continue for
    seconds with callers that have left, overdue answers and stale views of the fleet,
    as if all of them were current.
    """

    def __init__(self, read: Callable[[], float] = read_boot_time) -> None:
        self._read = read

    def start_clock(self) -> None:
        """Do nothing: the clock always runs."""

    def current_time(self) -> float:
        """Return the current time in seconds."""
        return self._read()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the seconds until a deadline."""
        return deadline - self._read()
