"""Detection of pauses of this process: it was stopped or starved, or its box was.

Peers weren't necessarily silent during a pause: their messages may still be unread.
"""

from __future__ import annotations

STOOD_STILL_SECONDS = 0.15
"""A wait that ends this late shows a pause. Timers of a busy process are a few
milliseconds late."""


def stood_still(due: float, now: float) -> bool:
    """Return whether a wait that was due at `due` ended much later, at `now`."""
    return now - due > STOOD_STILL_SECONDS
