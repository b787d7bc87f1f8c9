"""Streams: events passed on as they come, over one endpoint or several."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable
from http import HTTPStatus

import trio

from piershore.core.attempts.attempt_outcome import AttemptOutcome, final_status
from piershore.core.fleet.backup_choice import has_room, wants_backup
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.fleet_load import BackupWork
from piershore.core.fleet.generation_work import GenerationSize, GenerationWork
from piershore.core.fleet.placement import Candidate
from piershore.core.routes.service_spec import EngineSpec
from piershore.core.streams.delivered_events import MissingEventError
from piershore.core.streams.event_splitter import EventSplitter, StreamEvent
from piershore.http1.exceptions import ExchangeBrokenError
from piershore.ingress.call_forwarder import note_failure, REFUSING_STATUSES
from piershore.ingress.endpoint_attempt import EndpointAttempt
from piershore.ingress.exceptions import AttemptFailedError, RequestRefusedError
from piershore.ingress.exchange import Exchange
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import (
    backup_handover,
    Handover,
    LiveStream,
    LiveStreams,
)
from piershore.ingress.move_coordinator import MoveCoordinator
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import (
    AttemptStarted,
    RequestAnswered,
    StreamBrokenOff,
    StreamContinued,
)

IDLE_OF_STREAM_SECONDS = 1.0
"""Longest rest of a connection that a stream takes over; as for calls that run
only once."""
MOST_PROVEN_UNRUN = 3
COME_BACK_SECONDS = 0.4
"""When a refused caller may find a place: a short generation's length."""
TOKENS_AN_EVENT = 4
"""Tokens of one event, when the endpoint doesn't tell; only used for estimates."""
UNKNOWN_SIZE = GenerationSize(1_000, 1_000)
HANDOVER_SECONDS = 3.0
"""Longest wait for a move that was under way when the old stream ended."""


class StreamForwarder:
    """Serves requests that are answered by a stream of events."""

    def __init__(
        self, state: GatewayState, live: LiveStreams, mover: MoveCoordinator
    ) -> None:
        self._state = state
        self._live = live
        self._mover = mover

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request, or raise `RequestRefusedError` before the first byte."""
        with trio.move_on_at(exchange.deadline):
            await _Serving(self._state, self._live, self._mover, exchange).run()
            return
        if not exchange.connection.response_started:
            raise RequestRefusedError(
                HTTPStatus.GATEWAY_TIMEOUT, "timed_out", "the request may have run"
            )
        exchange.connection.must_close = True
        ingress_metrics.BROKEN_STREAMS.labels("timed_out").inc()


class _Serving:
    """One stream from its first attempt to its end.

    The memory that its work and its backup take is counted at their endpoints.
    """

    def __init__(
        self,
        state: GatewayState,
        live: LiveStreams,
        mover: MoveCoordinator,
        exchange: Exchange,
    ) -> None:
        self._state = state
        self._live = live
        self._mover = mover
        self._exchange = exchange
        size = exchange.request.size or UNKNOWN_SIZE
        expected = state.lengths.expected(exchange.route.name, size)
        self._work = GenerationWork(size, expected)
        self._outcomes: list[AttemptOutcome] = []
        self._backup_work = BackupWork(self._work)
        self._backup: Endpoint | None = None

    async def run(self) -> None:
        """Serve the stream to its end."""
        attempt = await self._begin()
        stream = LiveStream(self._exchange, attempt.endpoint, self._work)
        stream.backup = self._backup
        self._live.add(stream)
        try:
            if self._state.directory.is_leaving(attempt.endpoint.identity):
                self._mover.evacuate_one(stream)
            await self._relay_all(stream, attempt)
        finally:
            self._live.remove(stream)
            self._state.fleet_load.remove(stream.endpoint.identity, self._work)
            self._set_backup(None)

    def _set_backup(self, backup: Endpoint | None) -> None:
        load = self._state.fleet_load
        if self._backup is not None:
            load.remove(self._backup.identity, self._backup_work)
        if backup is not None:
            load.add(backup.identity, self._backup_work)
        self._backup = backup

    def _choose_backup(self, endpoint: Endpoint, load: EndpointLoad) -> Endpoint | None:
        """Return where the memory is copied as it grows, if it should be."""
        engine = self._engine(endpoint.service)
        if engine is None or not wants_backup(load, self._work, engine):
            return None
        candidate = self._choose(endpoint.service, [endpoint.identity])
        if candidate is None or not has_room(candidate.load, self._work, engine):
            return None
        return candidate.endpoint

    async def _begin(self) -> EndpointAttempt:
        """Return an attempt whose answer has begun."""
        exchange = self._exchange
        service = exchange.route.service_for(exchange.identity)
        if service is None:
            raise self._refusal()
        self._state.allowance(service).note_request(trio.current_time())
        tried: list[str] = []
        while True:
            candidate = self._choose(service, tried)
            if candidate is None:
                raise self._refusal()
            tried.append(candidate.endpoint.identity)
            attempt = await self._attempt(candidate, len(tried))
            if attempt is not None:
                return attempt
            outcome = self._outcomes[-1]
            unrun = len(self._outcomes)
            if not outcome.proves_not_run or unrun >= MOST_PROVEN_UNRUN:
                raise self._refusal()
            if not self._state.may_retry(service):
                raise self._refusal()
            ingress_metrics.RETRIES.labels(outcome).inc()

    def _engine(self, service: str) -> EngineSpec | None:
        spec = self._exchange.configuration.services.get(service)
        return spec.engine if spec else None

    def _choose(self, service: str, tried: list[str]) -> Candidate | None:
        now = trio.current_time()
        engine = self._engine(service)
        placement = self._state.placement
        if engine is None:
            return placement.for_call(service, now, tried)
        return placement.for_generation(service, self._work, engine, now, tried)

    async def _attempt(
        self, candidate: Candidate, number: int
    ) -> EndpointAttempt | None:
        endpoint = candidate.endpoint
        self._log_start(candidate, number)
        attempt = EndpointAttempt(
            self._state, self._exchange, endpoint, IDLE_OF_STREAM_SECONDS
        )
        self._state.fleet_load.add(endpoint.identity, self._work)
        self._state.announce()
        started = trio.current_time()
        is_begun = False
        try:
            self._set_backup(self._choose_backup(endpoint, candidate.load))
            await self._start(attempt)
            is_begun = True
            return attempt
        except AttemptFailedError as error:
            self._outcomes.append(error.outcome)
            seconds = trio.current_time() - started
            note_failure(self._state, self._exchange, endpoint, error, seconds)
            return None
        finally:
            if not is_begun:
                self._state.fleet_load.remove(endpoint.identity, self._work)
                self._set_backup(None)
                await attempt.close()

    async def _start(self, attempt: EndpointAttempt) -> None:
        answer = await attempt.start(
            self._exchange.order(
                priority=self._exchange.priority,
                back_up_at=self._backup.address if self._backup else None,
            )
        )
        if answer.is_success:
            return
        if not answer.is_sound or answer.status in REFUSING_STATUSES:
            raise AttemptFailedError(
                AttemptOutcome.MAYBE_RUN, f"unusable answer, status {answer.status}"
            )

    def _log_start(self, candidate: Candidate, number: int) -> None:
        self._state.log.write(
            AttemptStarted(
                request=self._exchange.identity,
                endpoint=candidate.endpoint.identity,
                route=self._exchange.route.name,
                attempt=number,
                cost=candidate.cost,
                known_requests=candidate.load.requests,
                known_tokens=candidate.load.projected_tokens,
                config_version=self._exchange.configuration.version,
                prompt_tokens=self._work.size.prompt_tokens,
                hinted_tokens=self._work.size.hinted_tokens,
                most_tokens=self._work.size.max_output_tokens,
            )
        )

    def _refusal(self) -> RequestRefusedError:
        status = final_status(tuple(self._outcomes))
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            code = "endpoints_refused" if self._outcomes else "no_endpoint"
            return RequestRefusedError(
                status, code, "no endpoint took the request", COME_BACK_SECONDS
            )
        return RequestRefusedError(
            status, "endpoint_failed", "the request may have run"
        )

    async def _relay_all(self, stream: LiveStream, attempt: EndpointAttempt) -> None:
        """Relay from one endpoint after the other until the stream is whole."""
        current: EndpointAttempt | None = attempt
        while current is not None:
            reason = await self._relay(stream, current)
            if reason is None:
                await self._finish(stream, attempt.answer.status)
                return
            current = await self._continue(stream, reason)

    async def _relay(self, stream: LiveStream, attempt: EndpointAttempt) -> str | None:
        """Pass events on; return None when whole, or why the stream broke."""
        splitter = EventSplitter()
        parts = attempt.read_parts()
        try:
            while (part := await self._next_part(stream, parts)) is not None:
                await self._pass_on(stream, attempt, splitter.feed(part))
            if stream.is_given_up:
                return "the endpoint was given up"
        except ExchangeBrokenError as error:
            return error.message
        except MissingEventError as error:
            return f"an event is missing: {error}"
        finally:
            await attempt.close()
        if stream.handover is not None and stream.handover.run_stopped:
            return "the run was stopped for a move"
        if splitter.rest and attempt.answer.is_success:
            return "the last event was cut short"
        if splitter.rest:
            await self._send(stream, attempt, splitter.rest)
        return None

    @staticmethod
    async def _next_part(
        stream: LiveStream, parts: AsyncIterator[bytes]
    ) -> bytes | None:
        """Wait for the next part; None at the end or when the endpoint is given up.

        Only this wait may be cancelled to go on elsewhere: events that were taken
        are always sent.
        """
        if stream.is_given_up:
            return None
        with trio.CancelScope() as stream.reading_scope:
            return await anext(parts, None)
        return None

    async def _pass_on(
        self,
        stream: LiveStream,
        attempt: EndpointAttempt,
        events: Iterable[StreamEvent],
    ) -> None:
        """Send the events that are new; raise `MissingEventError` after them."""
        taken: list[bytes] = []
        try:
            for event in stream.delivered.take(events):
                taken.append(event.data)
        finally:
            if taken:
                stream.note_events(len(taken), trio.current_time(), TOKENS_AN_EVENT)
                await self._send(stream, attempt, b"".join(taken))

    async def _send(
        self, stream: LiveStream, attempt: EndpointAttempt, data: bytes
    ) -> None:
        connection = self._exchange.connection
        if connection.response_started:
            await connection.send_part(data)
            return
        headers = self._state.dialect.answer_headers(attempt.head)
        await connection.start_stream(attempt.answer.status, headers, data)

    async def _finish(self, stream: LiveStream, status: int) -> None:
        connection = self._exchange.connection
        if not connection.response_started:
            raise RequestRefusedError(
                HTTPStatus.BAD_GATEWAY, "empty_stream", "the request has run"
            )
        await connection.finish()
        self._state.health.note_success(stream.endpoint.identity)
        self._state.lengths.record(self._exchange.route.name, self._work.made_tokens)
        ingress_metrics.FIRST_SECONDS.observe(stream.first_seconds)
        ingress_metrics.PAUSE_SECONDS.observe(stream.longest_pause)
        self._state.log.write(
            RequestAnswered(
                self._exchange.identity,
                stream.endpoint.identity,
                status,
                len(self._outcomes) + 1,
                self._exchange.age,
                stream.first_seconds,
                stream.longest_pause,
                stream.moves,
            )
        )

    async def _continue(
        self, stream: LiveStream, reason: str
    ) -> EndpointAttempt | None:
        """Return where the stream goes on, or break it off."""
        handover = stream.handover
        if handover is not None:
            attempt = await self._go_on(stream, handover)
            if attempt is not None:
                return attempt
            reason = f"{reason}; the move failed"
        if stream.has_backup:
            attempt = await self._go_on(stream, backup_handover(stream))
            if attempt is not None:
                return attempt
            reason = f"{reason}; the backup failed"
        self._break_off(stream, reason)
        return None

    async def _go_on(
        self, stream: LiveStream, handover: Handover
    ) -> EndpointAttempt | None:
        """Continue at the target, or else at the source that stopped."""
        if handover.copy is not None:
            attempt = await self._resume_at(stream, handover.target, handover)
            if attempt is not None:
                return attempt
        if not handover.run_stopped:
            return None
        with trio.move_on_after(HANDOVER_SECONDS):
            await handover.is_settled.wait()
        for endpoint in (handover.target, handover.source):
            attempt = await self._resume_at(stream, endpoint, handover)
            if attempt is not None:
                return attempt
        return None

    async def _resume_at(
        self, stream: LiveStream, endpoint: Endpoint, handover: Handover
    ) -> EndpointAttempt | None:
        last = stream.delivered.last_number
        backup = self._choose_backup(
            endpoint, self._state.fleet_load.at(endpoint.identity)
        )
        order = self._exchange.order(
            priority=self._exchange.priority,
            continue_from=handover.copy,
            back_up_at=backup.address if backup else None,
            last_event_id=None if last is None else str(last),
        )
        attempt = EndpointAttempt(
            self._state, self._exchange, endpoint, IDLE_OF_STREAM_SECONDS
        )
        try:
            answer = await attempt.start(order)
            if not answer.is_success:
                raise AttemptFailedError(
                    AttemptOutcome.FAILED_ANSWER, f"status {answer.status}"
                )
        except AttemptFailedError as error:
            note_failure(self._state, self._exchange, endpoint, error, 0.0)
            await attempt.close()
            return None
        except BaseException:
            await attempt.close()
            raise
        self._settle_at(stream, endpoint, backup)
        return attempt

    def _settle_at(
        self, stream: LiveStream, endpoint: Endpoint, backup: Endpoint | None
    ) -> None:
        """Note that the stream runs at another endpoint now."""
        load = self._state.fleet_load
        if stream.endpoint.identity != endpoint.identity:
            load.remove(stream.endpoint.identity, self._work)
            load.add(endpoint.identity, self._work)
        stream.endpoint = endpoint
        stream.handover = None
        stream.is_given_up = False
        stream.leg_began_at = float("inf")
        self._set_backup(backup)
        stream.backup = backup
        stream.moves += 1
        pause = trio.current_time() - stream.last_event_at
        self._state.log.write(
            StreamContinued(
                self._exchange.identity,
                endpoint.identity,
                stream.delivered.last_number or 0,
                pause,
            )
        )
        if self._state.directory.is_leaving(endpoint.identity):
            self._mover.evacuate_one(stream)

    def _break_off(self, stream: LiveStream, reason: str) -> None:
        ingress_metrics.BROKEN_STREAMS.labels("endpoint_failed").inc()
        self._state.health.note_failure(stream.endpoint.identity, trio.current_time())
        self._state.log.write(
            StreamBrokenOff(
                self._exchange.identity,
                stream.endpoint.identity,
                reason,
                stream.delivered.last_number or 0,
                self._exchange.age,
            ),
            is_failure=True,
        )
        if not self._exchange.connection.response_started:
            raise RequestRefusedError(
                HTTPStatus.BAD_GATEWAY, "endpoint_failed", "the request may have run"
            )
        self._exchange.connection.must_close = True
