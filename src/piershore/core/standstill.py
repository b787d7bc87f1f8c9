"""Whether this process itself stood still: paused, starved, or its whole box was.

What waited meanwhile was not silent for that time: its messages may lie unread.
"""

from __future__ import annotations

STOOD_STILL_SECONDS = 0.15
"""A wait that ends so late shows it; timers of a busy process are some ms late."""


def stood_still(due: float, now: float) -> bool:
    """Tell whether a wait that was due at `due` ended much later, at `now`."""
    return now - due > STOOD_STILL_SECONDS
