"""Measures a peer's silence without the time in which this process was paused."""

from __future__ import annotations

from math import inf

from piershore.core.process_pause import was_paused

CHECK_INTERVAL_SECONDS = 1.0
"""Maximum interval between checks: a longer pause makes at least one of them late."""
CATCH_UP_SECONDS = 1.0
"""Time after a pause in which messages that arrived during it may still be unread."""
MAX_CATCH_UP_FACTOR = 2
"""A peer counts as silent after this multiple of the timeout, whatever pauses follow
each other: a process that is paused again and again still has to notice."""


class SilenceTimer:
    """Tells whether a peer has been silent for `timeout` seconds; times in seconds.

    Call `is_over` at `next_check` or earlier; a late call shows a pause.
    """

    def __init__(self, timeout: float, now: float) -> None:
        self._timeout = timeout
        self._received_at = now
        self._silent_since = now
        self._resumed_at = -inf
        self._next_check = now + CHECK_INTERVAL_SECONDS

    @property
    def next_check(self) -> float:
        """When `is_over` is to be called next."""
        return self._next_check

    @property
    def received_at(self) -> float:
        """When a message was last received."""
        return self._received_at

    @property
    def resumed_at(self) -> float:
        """When the last pause of this process ended; minus infinity if none did."""
        return self._resumed_at

    def record_message(self, now: float) -> None:
        """Record that a message was received."""
        self._received_at = self._silent_since = now

    def is_over(self, now: float) -> bool:
        """Return whether the peer has been silent for the timeout."""
        if was_paused(self._next_check, now):
            paused = now - self._next_check
            self._silent_since = min(now, self._silent_since + paused)
            self._resumed_at = now
        self._next_check = now + CHECK_INTERVAL_SECONDS
        expires_at = self._silent_since + self._timeout
        if expires_at > now:
            self._next_check = min(self._next_check, expires_at)
        silence = now - self._silent_since
        if silence >= MAX_CATCH_UP_FACTOR * self._timeout:
            return True
        has_caught_up = now - self._resumed_at >= CATCH_UP_SECONDS
        return silence >= self._timeout and has_caught_up
