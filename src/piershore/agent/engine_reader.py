"""Reads one generation from the engine and resumes streams that break."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import aclosing

import trio

from piershore.core.ports import EngineClient, EngineTokens, GenerationRequest
from piershore.endpoints.exceptions import EngineLostError, EngineStalledError
from piershore.telemetry import metrics

MAX_RESUME_ATTEMPTS = 4
RESUME_BACKOFF_SECONDS = 0.1


class EngineReader:
    """Reads a generation's tokens; resumes at the next index when the stream breaks."""

    def __init__(self, engine: EngineClient, request: GenerationRequest) -> None:
        self._engine = engine
        self._request = request
        self._next_index = 0
        self._failures = 0

    async def read(self) -> AsyncIterator[EngineTokens]:
        """Yield tokens until the generation is complete.

        Raise `EngineLostError` after more than `MAX_RESUME_ATTEMPTS` failures in a row
        without a token, and `EngineUnknownGenerationError` on the first one.
        """
        source = self._engine.generate(self._request)
        while True:
            try:
                async with aclosing(source):
                    async for tokens in source:
                        self._failures = 0
                        self._next_index = tokens.first_index + len(tokens.tokens)
                        yield tokens
                return
            except EngineStalledError:
                # The engine still has the generation: it was preempted, or is queued.
                self._failures = 0
            except EngineLostError:
                self._failures += 1
                if self._failures > MAX_RESUME_ATTEMPTS:
                    raise
            await trio.sleep(RESUME_BACKOFF_SECONDS * self._failures)
            metrics.RESUMES.labels(by="engine").inc()
            source = self._engine.resume(self._request.identity, self._next_index)
