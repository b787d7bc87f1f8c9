"""Waiting of one generation for its turn at an engine with memory."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import trio

from piershore.core.fleet.memory_wait import max_memory_wait_seconds, MemoryWait
from piershore.core.fleet.placement import PlacementDecision
from piershore.core.mechanism import Mechanism
from piershore.core.waiting.expected_times import first_part_seconds, whole_seconds
from piershore.core.waiting.waiter import Waiter
from piershore.core.waiting.waiting_decision import WaitingAction, WaitingDecision
from piershore.ingress.callers.exchange import Exchange
from piershore.ingress.exceptions import RequestRefusedError
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.streams.stream_placement import StreamPlacement
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import MemoryWaitEnded


@dataclass(frozen=True)
class WaitResult:
    """The endpoint that a generation starts at, if any, or why it is refused."""

    decision: PlacementDecision | None
    refusal: RequestRefusedError | None = None


class OrderedWait:
    """Checks for memory until the generation's turn has come, or it is refused."""

    def __init__(
        self, state: GatewayState, exchange: Exchange, placement: StreamPlacement
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._placement = placement
        self._waiter: Waiter | None = None
        self._last: WaitingDecision | None = None
        self._has_waited = False

    @staticmethod
    def applies(state: GatewayState, placement: StreamPlacement, service: str) -> bool:
        """Return whether generations of a service wait in an order."""
        return placement.engine(service) is not None and all(
            map(
                state.is_enabled,
                (Mechanism.ORDERED_WAITING, Mechanism.WAITING, Mechanism.ADMISSION),
            )
        )

    async def choose(self, service: str, tried: list[str]) -> WaitResult:
        """Return the endpoint to start at, once it has memory."""
        started = trio.current_time()
        result: WaitResult | None = None
        try:
            result = await self._choose(service, tried)
            return result
        finally:
            if self._waiter is not None:
                self._end_wait(result, trio.current_time() - started)

    async def _choose(self, service: str, tried: list[str]) -> WaitResult:
        wait = MemoryWait(self._state.random)
        while True:
            now = trio.current_time()
            decision = self._placement.choose(service, tried, now)
            if decision is None:
                pause = self._seconds_until_available(service, now)
                if pause is None:
                    return WaitResult(None)
            else:
                verdict = self._decide(decision, now)
                if verdict.action is WaitingAction.REFUSE:
                    return WaitResult(None, self._overload_refusal(verdict, now))
                may_start = verdict.action is WaitingAction.START
                pause = wait.next_pause(has_memory=may_start)
                if pause is None:
                    return WaitResult(decision)
                if self._must_hand_over(decision, now):
                    return WaitResult(None, self._leaving_refusal())
                self._announce_wait()
            await trio.sleep(pause)

    def _decide(self, decision: PlacementDecision, now: float) -> WaitingDecision:
        if self._waiter is None:
            self._waiter = self._new_waiter(decision)
        self._last = self._state.waiting.decide(
            self._waiter,
            self._placement.forecast(decision, now),
            now,
            fits=self._placement.has_room(decision),
        )
        return self._last

    def _new_waiter(self, decision: PlacementDecision) -> Waiter:
        exchange, work = self._exchange, self._placement.work
        first = first_part_seconds(decision.load, work)
        whole = whole_seconds(decision.load, work)
        return Waiter(
            identity=exchange.identity,
            content=exchange.content,
            service=decision.endpoint.service,
            priority=exchange.priority,
            prompt_tokens=work.held_tokens,
            tokens=work.held_tokens + work.remaining_tokens,
            is_light=not work.is_long,
            arrived=exchange.arrived,
            start_until=exchange.arrived + exchange.route.target_latency - first,
            complete_until=exchange.deadline - whole,
            deadline=exchange.deadline,
            target_latency=exchange.route.target_latency,
        )

    def _seconds_until_available(self, service: str, now: float) -> float | None:
        """Return when an endpoint accepts work, or None if that is too late to wait."""
        pause = self._state.placement.seconds_until_any_available(service, now)
        latest = self._exchange.arrived + max_memory_wait_seconds(
            self._exchange.route.target_latency
        )
        return None if pause is None or now + pause > latest else pause

    def _must_hand_over(self, decision: PlacementDecision, now: float) -> bool:
        """Return whether the process ends before the generation, if it waits on."""
        whole = whole_seconds(decision.load, self._placement.work)
        return self._state.is_leaving and now + whole > self._state.stops_at

    def _leaving_refusal(self) -> RequestRefusedError:
        return RequestRefusedError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "leaving",
            "this gateway stops; another one takes the request",
            self._state.seconds_until_accepted(),
        )

    def _overload_refusal(
        self, verdict: WaitingDecision, now: float
    ) -> RequestRefusedError:
        seconds = self._state.waiting.promise(self._waiter, verdict, now)
        self._state.announce_waiting()
        return RequestRefusedError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "engines_crowded",
            "no engine has memory for the request now",
            seconds,
        )

    def _announce_wait(self) -> None:
        if not self._has_waited:
            self._has_waited = True
            self._state.announce_waiting()

    def _end_wait(self, result: WaitResult | None, seconds: float) -> None:
        """Leave the queue; log what was decided, unless it started at once."""
        self._state.waiting.leave(self._waiter)
        last = self._last
        has_returned = last is not None and last.has_returned
        ended = _name_end(result)
        if self._has_waited or has_returned:
            self._state.announce_waiting()
        is_refused = ended == "refused"
        if last is None or not (self._has_waited or has_returned or is_refused):
            return
        ingress_metrics.MEMORY_WAITS.labels(ended).inc()
        self._state.log.write(
            MemoryWaitEnded(
                self._waiter.identity,
                self._waiter.service,
                self._waiter.priority,
                ended,
                seconds,
                last.seconds,
                round(last.tokens_before),
                last.reserved_tokens,
                last.free_tokens,
                last.has_returned,
            )
        )


def _name_end(result: WaitResult | None) -> str:
    if result is None:
        return "cancelled"
    if result.refusal is not None:
        return "refused"
    return "started" if result.decision is not None else "no_endpoint"
