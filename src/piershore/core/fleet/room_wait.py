"""How a generation waits for memory before it is refused.

The load pattern: a sixth of the engines is taken away each few seconds and others come
4 s later, so that for some tenths of a second no engine has memory for one more long
generation. A caller that is refused then comes back when its aim is over; one that
waits a moment is in time: 0.96 instead of 0.83 of the long ones were in aim.

But what waits at several gateways goes for the same room in the same moment. So looks
are spread at random, and who has found room looks once more after a moment in which it
hears of the others' starts: at 1.4 times that load 25 of 1,000 generations were
preempted instead of 44 with looks each 30 ms alone, and 17 if nobody waits; 0.52, 0.37
and 0.49 of the long ones were in aim (fleet experiment in virtual time, 3, 2 and 3
seeds).
"""

from __future__ import annotations

from random import Random

WAITING_SHARE = 0.35
"""Part of the first token's aim that a generation waits for memory; the rest is for
reading its prompt."""
LOOK_AGAIN_SECONDS = 0.1
"""Mean time between two looks for memory: an engine has room again some times a second,
and a start is told within 14 ms."""
SPREAD = (0.5, 1.5)
"""Parts of that time that looks are apart, so that gateways don't look together."""
LONGEST_PAUSE_BEFORE_START = 0.1
"""Longest time between the look that found room and the one that takes it."""


def waiting_seconds(aim: float) -> float:
    """Return how long a generation may wait for memory, given its aim in seconds."""
    return WAITING_SHARE * aim


class RoomWait:
    """Says when a generation that waits looks again, and when it takes room."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._has_waited = False
        self._has_found = False

    def next_pause(self, *, has_room: bool) -> float | None:
        """Return the seconds until the next look, or None to take the room now."""
        if not has_room:
            self._has_waited, self._has_found = True, False
            return LOOK_AGAIN_SECONDS * self._random.uniform(*SPREAD)
        if not self._has_waited or self._has_found:
            return None
        self._has_found = True
        return self._random.uniform(0, LONGEST_PAUSE_BEFORE_START)
