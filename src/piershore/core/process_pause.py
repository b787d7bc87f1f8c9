"""Detection of pauses of this process: it was stopped or starved, or its box was.

Peers weren't necessarily silent during a pause: their messages may still be unread.
"""

from __future__ import annotations

MIN_PAUSE_SECONDS = 0.15
"""A wait that ends this late shows a pause. Timers of a busy process are a few
milliseconds late."""


def was_paused(due: float, now: float) -> bool:
    """Return whether a wait that was due at `due` ended much later, at `now`."""
    return now - due > MIN_PAUSE_SECONDS
