"""Events in their order of virtual time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count


@dataclass(order=True)
class _Event:
    at: float
    order: int
    action: Callable[[], None] = field(compare=False)


class VirtualTime:
    """Base of simulations; `_now` is the time of the event that is played."""

    def __init__(self) -> None:
        self._events: list[_Event] = []
        self._order = count()
        self._now = 0.0

    def _at(self, seconds: float, action: Callable[..., None], *arguments) -> None:
        """Do something so many seconds from now."""
        event = _Event(
            self._now + seconds, next(self._order), lambda: action(*arguments)
        )
        heappush(self._events, event)

    def _play(self) -> None:
        """Play until nothing is left to do."""
        while self._events:
            event = heappop(self._events)
            self._now = event.at
            event.action()
