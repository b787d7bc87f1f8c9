"""Relaying of one endpoint's events to the caller."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.mechanism import Mechanism
from piershore.core.streams.delivered_events import MissingEventError
from piershore.core.streams.event_splitter import EventSplitter, StreamEvent
from piershore.core.streams.reader_progress import CAUGHT_UP_SECONDS
from piershore.http1.exceptions import ExchangeBrokenError
from piershore.ingress.attempts.endpoint_attempt import EndpointAttempt
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import LiveStream, RunState

TOKENS_PER_EVENT = 4
"""Tokens assumed per event, as endpoints don't report them; used for estimates only."""
MAX_EVENT_BYTES = 1_024 * 1_024
"""Maximum size of an event, which is buffered until it is complete."""

MIN_WAIT_SHARE = 0.5
"""Share of a gap that was spent on waiting for the endpoint: with less, the caller read
slowly, and the gap tells nothing about the endpoint."""
MIN_WAIT_SECONDS = 0.001
"""A shorter wait is for a chunk that had already arrived."""


@dataclass(frozen=True)
class StreamBreak:
    """Why a stream can't be read further, and what is known of its run."""

    reason: str
    run: RunState = RunState.RUNNING


class StreamRelay:
    """Relays complete events as they arrive, each once and in order."""

    def __init__(self, state: GatewayState, stream: LiveStream) -> None:
        self._state = state
        self._stream = stream
        self._waited = 0.0
        self._was_awaited = True
        self._found_nothing = False
        self._learns_speeds = state.is_enabled(Mechanism.ENDPOINT_SPEEDS)
        self._unrecorded_gap: tuple[float, int, float] | None = None

    async def run(self, attempt: EndpointAttempt) -> StreamBreak | None:
        """Relay all events; return None when complete, or why the stream broke."""
        splitter = EventSplitter()
        chunks = attempt.read_chunks()
        self._unrecorded_gap = None
        self._was_awaited = True
        try:
            while (chunk := await self._next_chunk(attempt, chunks)) is not None:
                await self._relay(attempt, splitter.feed(chunk))
                if len(splitter.remainder) > MAX_EVENT_BYTES:
                    return StreamBreak(f"an event has over {MAX_EVENT_BYTES} bytes")
            return await self._find_break(attempt, splitter)
        except ExchangeBrokenError as error:
            return StreamBreak(error.message, self._stopped_run)
        except MissingEventError as error:
            return StreamBreak(f"an event is missing: {error}")
        finally:
            await attempt.close()

    async def _find_break(
        self, attempt: EndpointAttempt, splitter: EventSplitter
    ) -> StreamBreak | None:
        """Return why an answer that ended is incomplete; None if it is complete."""
        given_up_run = self._stream.given_up_run
        if given_up_run is not None:
            return StreamBreak("the endpoint was given up", given_up_run)
        if splitter.remainder:
            if not self._stream.may_have_been_stopped:
                attempt.record_truncation()
            return StreamBreak("the last event was truncated", self._stopped_run)
        if attempt.is_framed:
            return None
        return await self._find_unframed_break(attempt)

    async def _find_unframed_break(
        self, attempt: EndpointAttempt
    ) -> StreamBreak | None:
        """Return why an answer that ended with its connection is incomplete.

        The connection of a run that is stopped, or whose endpoint ends, closes in the
        same way as after the last event.
        """
        if self._stream.may_have_been_stopped:
            return StreamBreak("the run was stopped for a move", RunState.ENDED)
        if await attempt.ended_with_endpoint():
            return StreamBreak("the endpoint ended with its answer", RunState.ENDED)
        if self._stream.given_up_run is not None:
            return StreamBreak("the endpoint has restarted", self._stream.given_up_run)
        return None

    @property
    def _stopped_run(self) -> RunState:
        """What is known of the run when its answer ends early."""
        is_over = self._stream.may_have_been_stopped
        return RunState.ENDED if is_over else RunState.RUNNING

    async def _next_chunk(
        self, attempt: EndpointAttempt, chunks: AsyncIterator[bytes]
    ) -> bytes | None:
        """Wait for the next chunk; None at the end or when the endpoint is given up.

        Only this wait may be cancelled to continue elsewhere: events that were received
        are always sent.
        """
        stream = self._stream
        if stream.is_given_up:
            return None
        started = stream.waiting_since = trio.current_time()
        look = trio.CancelScope()
        self._found_nothing = False
        if stream.reader.has_held_up:
            stream.exchange.nursery.start_soon(self._look_for_bytes, attempt, look)
        try:
            with trio.CancelScope() as stream.reading_scope:
                return await anext(chunks, None)
            return None
        finally:
            look.cancel()
            stream.waiting_since = None
            self._waited = trio.current_time() - started
            stream.reader.record_wait(self._waited if self._found_nothing else 0.0)

    async def _look_for_bytes(
        self, attempt: EndpointAttempt, scope: trio.CancelScope
    ) -> None:
        """Look once during a wait whether the endpoint has sent anything.

        A busy gateway waits long for bytes that are already there.
        """
        with scope:
            await trio.sleep(CAUGHT_UP_SECONDS)
            # A chunk that was read just now ends the wait first.
            await trio.lowlevel.checkpoint()
            self._found_nothing = not attempt.has_unread_bytes

    async def _relay(
        self, attempt: EndpointAttempt, events: Iterable[StreamEvent]
    ) -> None:
        """Send new events; then raise `MissingEventError` if one is missing."""
        new_events: list[bytes] = []
        try:
            for event in self._stream.delivered.filter_new(events):
                new_events.append(event.data)
        finally:
            if new_events:
                self._record_events(attempt, len(new_events))
                started = trio.current_time()
                await self._send(attempt, b"".join(new_events))
                now = trio.current_time()
                self._stream.reader.record_send(now - started, now)

    def _record_events(self, attempt: EndpointAttempt, count: int) -> None:
        stream, now = self._stream, trio.current_time()
        is_first = stream.endpoint_first_event_at == float("inf")
        gap = None if is_first else now - stream.last_event_at
        if gap is not None and self._learns_speeds:
            self._record_speed(attempt.endpoint, gap, count, now)
        if stream.reader.is_gap_held_up:
            gap = None
        self._state.paces.record_chunk(attempt.endpoint.identity, gap, now)
        if gap is not None:
            self._state.stalls.record_chunk(attempt.endpoint.data_hall, gap)
        if not stream.work.has_begun:
            exchange = stream.exchange
            self._state.first_events.record(exchange.route.name, exchange.age, now)
        stream.record_events(count, now, TOKENS_PER_EVENT)

    def _record_speed(
        self, endpoint: Endpoint, gap: float, count: int, now: float
    ) -> None:
        """Record the gap before the last chunk, now that another one follows.

        The last event of a stream has fewer tokens than the others. Both chunks of a
        gap must have been awaited: else it isn't known when they arrived.
        """
        before, self._unrecorded_gap = self._unrecorded_gap, None
        was_awaited = self._was_awaited
        self._was_awaited = self._waited >= max(MIN_WAIT_SECONDS, MIN_WAIT_SHARE * gap)
        if was_awaited and self._was_awaited:
            self._unrecorded_gap = gap, count, now
        if before is None or self._state.directory.get(endpoint.identity) is None:
            return
        gap, count, now = before

        def has_pending_prompts() -> bool:
            load = self._state.fleet_load.at(endpoint.identity)
            return load.pending_prompt_tokens > 0

        self._state.speeds.record_gap(
            endpoint.identity,
            endpoint.service,
            gap,
            count * TOKENS_PER_EVENT,
            now,
            has_pending_prompts,
        )

    async def _send(self, attempt: EndpointAttempt, data: bytes) -> None:
        connection = self._stream.exchange.connection
        if connection.response_started:
            await connection.send_chunk(data)
            return
        headers = self._state.dialect.forwarded_answer_headers(attempt.head)
        await connection.start_stream(attempt.answer.status, headers, data)
