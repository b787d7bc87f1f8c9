"""The promises that this gateway and its peers made to refused callers."""

from __future__ import annotations

from collections.abc import Iterator

from piershore.core.bounded_mapping import put_newest
from piershore.core.waiting.return_promise import ReturnPromise

MAX_PROMISES = 1_024
"""Upper bound of the promises that a gateway remembers, valid and lapsed."""
REMEMBERED_SECONDS = 30.0
"""How long a lapsed promise shows that its caller was refused before: callers return
within a third of their time."""


class PromiseLedger:
    """Promises by the content of the request; each reserves memory until it is used."""

    def __init__(self) -> None:
        self._promises: dict[str, ReturnPromise] = {}
        self._used: dict[str, float] = {}
        self._used_here: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._promises)

    def put(self, promise: ReturnPromise) -> bool:
        """Add a promise; a repeated one, or one that was used, changes nothing."""
        if promise.content in self._used or promise.content in self._promises:
            return False
        put_newest(self._promises, promise.content, promise, MAX_PROMISES)
        return True

    def find(self, content: str) -> ReturnPromise | None:
        """Return the promise for this content, also if it has lapsed recently."""
        return self._promises.get(content)

    def use(self, content: str, now: float, *, is_own: bool = True) -> None:
        """Release the memory of a promise, as its caller has returned.

        `is_own` is whether it returned to this gateway.
        """
        self._promises.pop(content, None)
        put_newest(self._used, content, now, MAX_PROMISES)
        if is_own:
            put_newest(self._used_here, content, now, MAX_PROMISES)

    def was_used(self, content: str) -> bool:
        """Return whether the caller of this content has returned as told."""
        return content in self._used

    def used_here_since(self, earliest: float) -> Iterator[str]:
        """Yield the contents whose callers have returned to this gateway since then."""
        return (content for content, at in self._used_here.items() if at >= earliest)

    def reserving(
        self, service: str, priority: int, now: float
    ) -> Iterator[ReturnPromise]:
        """Yield the promises that reserve memory from newcomers of a priority."""
        for promise in self._promises.values():
            if (
                promise.service == service
                and promise.priority <= priority
                and promise.lapses > now
            ):
                yield promise

    def drop_old(self, now: float) -> None:
        """Forget promises and returns after a while."""
        earliest = now - REMEMBERED_SECONDS
        for content in [c for c, p in self._promises.items() if p.lapses < earliest]:
            del self._promises[content]
        for used in (self._used, self._used_here):
            for content in [c for c, at in used.items() if at < earliest]:
                del used[content]
