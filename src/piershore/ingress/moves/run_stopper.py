"""Orders to endpoints to stop runs whose streams go on elsewhere."""

from __future__ import annotations

import trio

from piershore.core.fleet.endpoint import Address
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.moves.stop_order import StopOrder
from piershore.ingress.ports import GenerationMover, StopOutcome, StopResult
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import RunStopEnded

STOP_TIMEOUT_SECONDS = 2.5
"""Timeout for an answer, which comes once the memory of the run is copied."""
FIRST_RETRY_SECONDS = 0.05
"""Pause before the second try, which doubles with each further one: an endpoint refuses
an order while it copies the memory."""
MAX_RETRY_SECONDS = 2.0
"""How long an order is repeated; a leaving endpoint seldom lives longer."""


class RunStopper:
    """Sends orders, over new connections, which show if the endpoint is reachable."""

    def __init__(self, state: GatewayState, mover: GenerationMover) -> None:
        self._state = state
        self._mover = mover

    async def stop(self, order: StopOrder, target: Address) -> StopResult:
        """Stop a run, and copy its memory to `target`; return the last result."""
        started = trio.current_time()
        pause = FIRST_RETRY_SECONDS
        try:
            while True:
                result = await self._try_stop(order, target)
                order.record_outcome(result.outcome)
                seconds = trio.current_time() - started
                if result.outcome.is_over or seconds > MAX_RETRY_SECONDS:
                    break
                await trio.sleep(pause)
                pause *= 2
        finally:
            order.settle()
        if result.outcome is StopOutcome.STOPPED:
            self._state.runs.end_stopped(order.endpoint.identity, order.request)
        self._record(order, result.outcome, seconds)
        return result

    async def _try_stop(self, order: StopOrder, target: Address) -> StopResult:
        try:
            connection = await self._state.pool.open(order.endpoint)
        except NotConnectedError as error:
            # An endpoint that refuses connections has ended.
            is_gone = not error.timed_out
            return StopResult(StopOutcome.GONE if is_gone else StopOutcome.UNANSWERED)
        result = StopResult(StopOutcome.UNANSWERED)
        try:
            with trio.move_on_after(STOP_TIMEOUT_SECONDS):
                result = await self._exchange(connection, order, target)
        finally:
            is_reusable = result.outcome is not StopOutcome.UNANSWERED
            with trio.CancelScope(shield=True):
                await self._state.pool.release(
                    order.endpoint.address, connection, reusable=is_reusable
                )
        return result

    async def _exchange(
        self, connection: ClientConnection, order: StopOrder, target: Address
    ) -> StopResult:
        source = order.endpoint.address
        order.begin_sending()
        try:
            await self._mover.send_stop(connection, source, order.request, target)
            order.record_sent()
            return await self._mover.read_stop_result(connection, source)
        except ExchangeBrokenError:
            return StopResult(StopOutcome.UNANSWERED)

    def _record(self, order: StopOrder, outcome: StopOutcome, seconds: float) -> None:
        ingress_metrics.STOPS.labels(outcome).inc()
        self._state.log.write(
            RunStopEnded(order.request, order.endpoint.identity, outcome, seconds),
            is_failure=not outcome.is_over,
        )
