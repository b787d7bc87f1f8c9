"""Forwarding of requests that are answered by a stream of events."""

from __future__ import annotations

from http import HTTPStatus

import trio

from piershore.core.attempts.attempt_outcome import AttemptOutcome
from piershore.core.fleet.generation_work import GenerationSize, GenerationWork
from piershore.ingress.attempts.attempt_log import record_endpoint_failure
from piershore.ingress.attempts.endpoint_attempt import EndpointAttempt
from piershore.ingress.callers.exchange import Exchange
from piershore.ingress.exceptions import AttemptFailedError, RequestRefusedError
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import LiveStream, LiveStreams
from piershore.ingress.moves.move_coordinator import MoveCoordinator
from piershore.ingress.streams.stream_continuation import StreamContinuation
from piershore.ingress.streams.stream_opening import StreamOpening
from piershore.ingress.streams.stream_placement import StreamPlacement
from piershore.ingress.streams.stream_relay import StreamRelay
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import RequestAnswered, StreamBrokenOff

DEFAULT_SIZE = GenerationSize(1_000, 1_000)
"""Size assumed for a request that doesn't state its own, in tokens."""


class StreamForwarder:
    """Serves streams: relays their events from one endpoint or several in turn."""

    def __init__(
        self, state: GatewayState, live: LiveStreams, moves: MoveCoordinator
    ) -> None:
        self._state = state
        self._live = live
        self._moves = moves

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request, or raise `RequestRefusedError` before the first byte."""
        size = exchange.request.size or DEFAULT_SIZE
        work = self._expected_work(exchange, size)
        placement = StreamPlacement(self._state, exchange, work)
        opening = StreamOpening(self._state, exchange, placement)
        try:
            with trio.move_on_at(exchange.deadline):
                await self._serve(exchange, placement, opening)
                return
        finally:
            placement.release()
        if not exchange.connection.response_started:
            raise opening.refusal(timed_out=True)
        exchange.connection.must_close = True
        ingress_metrics.BROKEN_STREAMS.labels("timed_out").inc()

    def _expected_work(
        self, exchange: Exchange, size: GenerationSize
    ) -> GenerationWork:
        now = trio.current_time()
        estimate = self._state.lengths.estimate(exchange.route.name, size, now)
        return GenerationWork(size, estimate, self._state.expectation)

    async def _serve(
        self, exchange: Exchange, placement: StreamPlacement, opening: StreamOpening
    ) -> None:
        attempt = await opening.open()
        if not attempt.answer.is_success:
            await self._forward_failure(exchange, attempt)
            return
        stream = LiveStream(exchange, attempt.endpoint, placement.work)
        stream.backup = placement.backup
        self._live.add(stream)
        try:
            if self._state.directory.is_leaving(attempt.endpoint.identity):
                self._moves.evacuate_one(stream)
            await self._relay_all(stream, placement, attempt)
            self._record_answered(stream, opening.attempts)
        except AttemptFailedError as error:
            self._break_off(stream, error.message)
        finally:
            self._live.remove(stream)

    async def _forward_failure(
        self, exchange: Exchange, attempt: EndpointAttempt
    ) -> None:
        """Forward an endpoint's error response unchanged."""
        try:
            body = await attempt.read_body()
        except AttemptFailedError as error:
            raise RequestRefusedError(
                HTTPStatus.BAD_GATEWAY, "endpoint_failed", error.message
            ) from error
        finally:
            await attempt.close()
        record_endpoint_failure(self._state, attempt.endpoint)
        if attempt.answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            attempt.record_served()
        headers = self._state.dialect.forwarded_answer_headers(attempt.head)
        await exchange.connection.respond(attempt.answer.status, headers, body)

    async def _relay_all(
        self, stream: LiveStream, placement: StreamPlacement, attempt: EndpointAttempt
    ) -> None:
        """Relay events from one endpoint after the other until the stream is complete.

        Raise `AttemptFailedError` if it can't be continued.
        """
        relay = StreamRelay(self._state, stream)
        while (broken := await relay.run(attempt)) is not None:
            continuation = StreamContinuation(
                self._state, self._moves, placement, stream, broken.run
            )
            attempt = await continuation.resume()
            if attempt is None:
                message = f"{broken.reason}{continuation.failure}"
                raise AttemptFailedError(AttemptOutcome.BROKEN_OFF, message)
        if not stream.exchange.connection.response_started:
            raise AttemptFailedError(AttemptOutcome.BROKEN_OFF, "no event was received")
        attempt.record_served()
        await stream.exchange.connection.finish()

    def _record_answered(self, stream: LiveStream, attempts: int) -> None:
        exchange = stream.exchange
        self._state.record_success(stream.endpoint.identity)
        work, route = stream.work, exchange.route.name
        expected = work.expectation.remaining(work.estimate, 0)
        ingress_metrics.EXPECTED_TOKENS.labels(route).inc(expected)
        ingress_metrics.MADE_TOKENS.labels(route).inc(work.made_tokens)
        self._state.lengths.record(
            route, work.size, work.made_tokens, trio.current_time()
        )
        ingress_metrics.FIRST_EVENT_SECONDS.observe(stream.first_seconds)
        ingress_metrics.LONGEST_PAUSE_SECONDS.observe(stream.longest_pause)
        ingress_metrics.ANSWER_SECONDS.labels(exchange.route.kind).observe(exchange.age)
        self._state.log.write(
            RequestAnswered(
                exchange.identity,
                stream.endpoint.identity,
                HTTPStatus.OK,
                attempts,
                exchange.age,
                stream.first_seconds,
                stream.longest_pause,
                stream.moves,
                stream.work.made_tokens,
                exchange.route.target_latency,
            )
        )

    def _break_off(self, stream: LiveStream, reason: str) -> None:
        """End the stream in a way that shows its caller that it is incomplete."""
        exchange = stream.exchange
        is_unread = stream.reader.has_caused_break(trio.current_time())
        cause = "unread" if is_unread else "endpoint_failed"
        ingress_metrics.BROKEN_STREAMS.labels(cause).inc()
        if not is_unread:
            record_endpoint_failure(self._state, stream.endpoint)
        self._state.log.write(
            StreamBrokenOff(
                exchange.identity,
                stream.endpoint.identity,
                reason,
                stream.delivered.last_number or 0,
                exchange.age,
                is_unread,
            ),
            is_failure=True,
        )
        if not exchange.connection.response_started:
            raise RequestRefusedError(
                HTTPStatus.BAD_GATEWAY, "endpoint_failed", "the request may have run"
            )
        exchange.connection.must_close = True
