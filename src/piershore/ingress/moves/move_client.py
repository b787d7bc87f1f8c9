"""Client for the calls to an engine that copy or stop one of its generations."""

from __future__ import annotations

import trio

from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import Handover
from piershore.ingress.ports import GenerationMover, MemoryCopy, MoveResult
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import MoveEnded

MOVE_TIMEOUT_SECONDS = 2.5
"""Timeout for one copy; the notice before an endpoint leaves is seldom longer."""
MAX_IDLE_SECONDS = 1.0
"""Maximum idle time of a pooled connection that a move reuses."""


class MoveClient:
    """Copies the memory of a generation, stops the generation, or frees a copy.

    A failed call is logged and returns None.
    """

    def __init__(self, state: GatewayState, mover: GenerationMover) -> None:
        self._state = state
        self._mover = mover

    async def copy(self, request: str, handover: Handover) -> MoveResult | None:
        """Copy the memory while the generation continues."""
        return await self._move(request, handover, is_last=False)

    async def stop(
        self, request: str, handover: Handover, noticed_at: float
    ) -> MoveResult | None:
        """Stop the generation, so that its stream ends and continues at the target.

        The target reads again the tokens that the copy lacks, a few tens: that is
        faster than waiting until the endpoint's link has copied them as well.
        """
        handover.run_stopped = True
        result = await self._move(request, handover, is_last=True)
        if result is not None:
            self._state.runs.end_stopped(handover.source.identity, request)
        outcome = "moved" if result else "refused"
        ingress_metrics.MOVES.labels(outcome).inc()
        self._log_end(request, handover, outcome, trio.current_time() - noticed_at)
        return result

    async def release(self, request: str, handover: Handover, copy: MemoryCopy) -> None:
        """Free the copy of a stream that has ended in the meantime."""
        try:
            source = handover.source
            async with self._state.pool.borrow(source, MAX_IDLE_SECONDS) as connection:
                await self._mover.release(connection, copy)
        except (ExchangeBrokenError, NotConnectedError) as error:
            self._log_end(request, handover, error.message, 0.0)

    async def _move(
        self, request: str, handover: Handover, *, is_last: bool
    ) -> MoveResult | None:
        source = handover.source
        with trio.move_on_after(MOVE_TIMEOUT_SECONDS):
            try:
                async with self._state.pool.borrow(
                    source, MAX_IDLE_SECONDS
                ) as connection:
                    return await self._mover.move(
                        connection,
                        source.address,
                        request,
                        handover.target.address,
                        is_last=is_last,
                    )
            except (ExchangeBrokenError, NotConnectedError) as error:
                self._log_end(request, handover, error.message, 0.0)
        return None

    def _log_end(
        self, request: str, handover: Handover, result: str, seconds: float
    ) -> None:
        self._state.log.write(
            MoveEnded(
                request,
                handover.source.identity,
                handover.target.identity,
                result,
                seconds,
            ),
            is_failure=result != "moved",
        )
