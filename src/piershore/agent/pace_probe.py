"""The engine's pace, measured at one generation after the other."""

from __future__ import annotations

from collections.abc import Container

from piershore.core.admission.engine_queue import EngineQueue


class PaceProbe:
    """Tells the queue of the engine's steps.

    The time between two tokens of one generation is a step of the whole batch.
    """

    def __init__(self, queue: EngineQueue) -> None:
        self._queue = queue
        self._identity: str | None = None
        self._new_tokens = 0

    def count(self, tokens: int) -> None:
        """Count tokens that the engine has made for any generation."""
        self._new_tokens += tokens

    def observe(
        self, identity: str, seconds: float, now: float, running: Container[str]
    ) -> None:
        """Take the seconds a token of a generation; `running` are those under way."""
        if self._identity not in running:
            self._identity = identity
        if self._identity == identity:
            tokens, self._new_tokens = self._new_tokens, 0
            self._queue.record_step(tokens, self._queue.running_count, seconds, now)
