"""Measures the engine's pace on one generation at a time."""

from __future__ import annotations

from collections.abc import Container

from piershore.core.admission.engine_queue import EngineQueue


class PaceMeter:
    """Records the duration of the engine's steps in the queue.

    The time between two tokens of one generation is one step of the whole batch.
    """

    def __init__(self, queue: EngineQueue) -> None:
        self._queue = queue
        self._measured_identity: str | None = None
        self._new_tokens = 0

    def count_tokens(self, tokens: int) -> None:
        """Count tokens that the engine has generated for any generation."""
        self._new_tokens += tokens

    def observe(
        self, identity: str, seconds: float, now: float, running: Container[str]
    ) -> None:
        """Record the seconds per token of a generation.

        Only one generation is measured until it is no longer in `running`; samples of
        others are ignored.
        """
        if self._measured_identity not in running:
            self._measured_identity = identity
        if self._measured_identity == identity:
            tokens, self._new_tokens = self._new_tokens, 0
            self._queue.record_step(tokens, self._queue.running_count, seconds, now)
