"""Whether the platform's store has fallen silent for the whole fleet.

A watch that waits for changes looks like one that nobody answers any more. But each
must be answered when its time is over, and the watches of a fleet end at different
moments: one that is overdue, while no other was answered lately, tells of an outage
long before any of them is given up: after about 1 s instead of 5.4 s and more. On
simulated days with three outages of 3 to 5 s and engines that left in them, 7 instead
of 33 of 329 long streams were lost (three pairs).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

OVERDUE_SECONDS = 0.3
"""How late an answer may be: a slow store takes 60 times its usual 4 ms."""
SILENT_SECONDS = 0.75
"""Time without an answer to anybody. Eight watches of some 3 s give one each 0.4 s; a
false alarm costs some questions to engines."""


@dataclass(frozen=True)
class StoreSign:
    """What one gateway knows: seconds since an answer, and whether one is overdue."""

    answer_age: float
    is_overdue: bool


def seems_silent(signs: Iterable[StoreSign]) -> bool:
    """Tell whether nobody is answered, by the signs of all gateways heard."""
    signs = list(signs)
    if not any(sign.is_overdue for sign in signs):
        return False
    return min(sign.answer_age for sign in signs) > SILENT_SECONDS
