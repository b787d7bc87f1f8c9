"""Client for the calls to an engine that copy the memory of its generations."""

from __future__ import annotations

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import Handover
from piershore.ingress.ports import GenerationMover, MemoryCopy, MoveResult
from piershore.telemetry.events import MoveEnded

MOVE_TIMEOUT_SECONDS = 2.5
"""Timeout for one copy; the notice before an endpoint leaves is seldom longer."""
MAX_IDLE_SECONDS = 1.0
"""Maximum idle time of a pooled connection that a move reuses."""


class MoveClient:
    """Copies the memory of a generation, or frees a copy.

    A failed call is logged and returns None.
    """

    def __init__(self, state: GatewayState, mover: GenerationMover) -> None:
        self._state = state
        self._mover = mover

    async def copy(self, request: str, handover: Handover) -> MoveResult | None:
        """Copy the memory while the generation continues."""
        source, target = handover.source, handover.target
        with trio.move_on_after(MOVE_TIMEOUT_SECONDS):
            try:
                async with self._state.pool.borrow(
                    source, MAX_IDLE_SECONDS
                ) as connection:
                    return await self._mover.move(
                        connection, source.address, request, target.address
                    )
            except (ExchangeBrokenError, NotConnectedError) as error:
                self._log_failure(request, source, target.identity, error.message)
        return None

    async def release(self, request: str, source: Endpoint, copy: MemoryCopy) -> None:
        """Free a copy that isn't used."""
        try:
            async with self._state.pool.borrow(source, MAX_IDLE_SECONDS) as connection:
                await self._mover.release(connection, copy)
        except (ExchangeBrokenError, NotConnectedError) as error:
            self._log_failure(request, source, copy.name, error.message)

    def _log_failure(
        self, request: str, source: Endpoint, target: str, result: str
    ) -> None:
        event = MoveEnded(request, source.identity, target, result, 0.0)
        self._state.log.write(event, is_failure=True)
