"""One attempt to send a request to an endpoint and read its answer."""

from __future__ import annotations

from collections.abc import AsyncIterator

import trio

from piershore.core.attempts.attempt_outcome import AttemptOutcome
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.quarantine.endpoint_runs import (
    EndpointRun,
    SUSPECT_WINDOW_SECONDS,
)
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.http1.message import RequestHead, ResponseHead
from piershore.ingress.callers.exchange import Exchange
from piershore.ingress.exceptions import AttemptFailedError
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.ports import EndpointAnswer, ForwardingOptions
from piershore.telemetry.events import UnframedAnswerEnded

MAX_SENT_FIRST_BYTES = 8_192
"""Larger bodies are sent while the answer is awaited, which may arrive early. Whether
the endpoint has read the whole body is unknown then, so the connection isn't reused."""
MIN_HELD_SECONDS = 0.05
"""A connection that breaks so long after a request was sent on it held until then; one
that was broken before breaks at once."""


class EndpointAttempt:
    """Sends a request to an endpoint; `start` sets `answer`."""

    def __init__(
        self,
        state: GatewayState,
        exchange: Exchange,
        endpoint: Endpoint,
        max_idle_seconds: float,
    ) -> None:
        self._state = state
        self._exchange = exchange
        self.endpoint = endpoint
        self._max_idle_seconds = max_idle_seconds
        self._connection: ClientConnection | None = None
        self._is_complete = False
        self._is_broken = False
        self._has_survived = False
        self._ended_run: EndpointRun | None = None
        self._run: EndpointRun | None = None
        self._recall_scope = trio.CancelScope()
        self._sent_at = 0.0
        self.head: ResponseHead | None = None
        self.answer: EndpointAnswer | None = None
        self.may_have_run = False
        # Counted before connecting: other requests choose an endpoint meanwhile.
        now = trio.current_time()
        state.cold_starts.record_sent(endpoint, now)
        self._is_counted = state.limits.claim(endpoint, now)

    @property
    def is_unanswered(self) -> bool:
        """Whether the request was sent and no head of an answer was received."""
        return self.may_have_run and self.head is None

    @property
    def is_framed(self) -> bool:
        """Whether the answer's head says how to find its end."""
        return self.head is not None and not self.head.ends_with_connection

    @property
    def has_unread_bytes(self) -> bool:
        """Whether a part of the answer has arrived that wasn't read."""
        return self._connection is not None and self._connection.has_unread_bytes()

    async def start(self, options: ForwardingOptions) -> EndpointAnswer:
        """Send the request and read the answer's head.

        Raise `AttemptFailedError` if that fails or the endpoint did not run the
        request.
        """
        exchange = self._exchange
        try:
            self._connection = await self._state.pool.acquire(
                self.endpoint, self._max_idle_seconds
            )
        except NotConnectedError as error:
            raise AttemptFailedError(AttemptOutcome.NOT_SENT, error.message) from error
        self._check_backoff()
        self._check_limit()
        self._begin_run()
        head = self._state.dialect.build_forwarded_head(
            exchange.request, len(exchange.body), self.endpoint, options
        )
        self.may_have_run = True
        try:
            with self._recall_scope:
                await self._send(head)
                self.head = await self._connection.read_head(self._is_answer)
        except ExchangeBrokenError as error:
            self._is_broken = True
            raise AttemptFailedError(AttemptOutcome.MAYBE_RUN, error.message) from error
        if self.head is None:
            raise AttemptFailedError(
                AttemptOutcome.RECALLED, "the request came into quarantine"
            )
        self._record_answer()
        self.answer = self._state.dialect.read_answer(self.head)
        if self.answer.was_not_run:
            self.may_have_run = False
            if self.answer.is_wrong_instance:
                self._state.directory.mark_leaving(self.endpoint.identity)
            raise AttemptFailedError(
                AttemptOutcome.REJECTED, f"not run, status {self.answer.status}"
            )
        return self.answer

    async def read_body(self) -> bytes:
        """Read the whole body."""
        try:
            body = await self._connection.read_body()
        except ExchangeBrokenError as error:
            self._is_broken = True
            raise AttemptFailedError(AttemptOutcome.MAYBE_RUN, error.message) from error
        self._run.record_chunk(self._record_answer())
        self._is_complete = True
        if await self.ended_with_endpoint():
            raise AttemptFailedError(
                AttemptOutcome.MAYBE_RUN, "the endpoint ended with its answer"
            )
        return body

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks; raise `ExchangeBrokenError` if it breaks off."""
        try:
            async for chunk in self._connection.read_chunks():
                self._run.record_chunk(self._record_answer())
                self._record_survival()
                yield chunk
        except ExchangeBrokenError:
            self._is_broken = True
            raise
        self._is_complete = True

    def record_truncation(self) -> None:
        """Record that the answer ended inside an event: its endpoint broke it off.

        An attempt that the gateway ended itself doesn't count.
        """
        self._is_broken = self._is_broken or self._is_complete
        self._is_complete = False

    async def ended_with_endpoint(self) -> bool:
        """Return whether the endpoint ended, or seems to have, as its answer did.

        Such an answer may be incomplete if only its connection ended it. Others aren't
        checked: that takes some 30 ms, and longer if the endpoint leaves.
        """
        if not self._is_complete or not self.head.ends_with_connection:
            return False
        is_serving = await self._state.crash_detector.is_serving(self.endpoint)
        self._state.log.write(
            UnframedAnswerEnded(
                self._exchange.identity, self.endpoint.identity, is_serving
            ),
            is_failure=not is_serving,
        )
        if not is_serving:
            self._is_broken, self._is_complete = True, False
        return not is_serving

    async def close(self) -> None:
        """Return the connection to the pool; close it if the answer is incomplete."""
        self._end_run()
        connection, self._connection = self._connection, None
        if connection is None:
            return
        with trio.CancelScope(shield=True):
            await self._state.pool.release(
                self.endpoint.address,
                connection,
                reusable=self._is_complete and not self._must_close(),
            )

    def record_served(self) -> None:
        """Record that the caller gets this answer: the request crashes no endpoints.

        A complete answer that isn't passed to the caller proves nothing of the kind.
        """
        run = self._run or self._ended_run
        if run is None:
            return
        self._state.crash_detector.record_completion(
            run.request, run.fingerprint, run.first_chunk_at
        )

    def _check_backoff(self) -> None:
        """Fail if the endpoint asked callers to back off while this connected."""
        now = trio.current_time()
        if self._state.backoffs.is_active(self.endpoint.identity, now):
            raise AttemptFailedError(
                AttemptOutcome.RESTING, "the endpoint has asked callers to back off"
            )

    def _check_limit(self) -> None:
        """Fail if the request would exceed the endpoint's rate limit."""
        limits, now = self._state.limits, trio.current_time()
        if self._is_counted or not limits.is_limited(self.endpoint.identity):
            return
        self._is_counted = limits.claim(self.endpoint, now)
        if not self._is_counted:
            raise AttemptFailedError(
                AttemptOutcome.LIMITED, "the rate limit of the endpoint is reached"
            )

    def _begin_run(self) -> None:
        """Record that the endpoint gets the request; fail if it is quarantined.

        All ways to send a request pass through here: first attempts and retries,
        streams that continue from a copy or a backup, and streams that restart.
        """
        state, exchange = self._state, self._exchange
        if exchange.seconds_until_release(state.quarantine) is not None:
            raise AttemptFailedError(
                AttemptOutcome.HELD,
                "the request is quarantined: endpoints have crashed while running it",
            )
        is_probe = state.quarantine.is_held(exchange.fingerprint)
        state.crash_detector.record_sent(exchange.fingerprint)
        self._sent_at = trio.current_time()
        self._run = state.runs.begin(
            self.endpoint.identity,
            exchange.identity,
            exchange.content,
            exchange.fingerprint.traits,
        )
        self._run.is_probe = is_probe
        self._run.recall = self._recall_scope.cancel

    def _record_answer(self) -> float:
        """Record that the endpoint sent a part of an answer; return the time."""
        now = trio.current_time()
        self._state.runs.record_alive(self.endpoint.identity, now)
        return now

    def _end_run(self) -> None:
        """Record how the run ended; check the endpoint if its answer broke off."""
        run, self._run = self._run, None
        if run is None:
            return
        self._ended_run = run
        state, identity = self._state, self.endpoint.identity
        now = trio.current_time()
        if self._is_complete or not self.may_have_run:
            state.runs.end(identity, run)
        else:
            state.runs.abandon(identity, run, now)
        if self._is_broken:
            self._record_break(now)
            state.crash_detector.check_endpoint(self.endpoint)

    def _record_survival(self) -> None:
        """Record once that the endpoint lives long after it began the answer."""
        run, now = self._run, trio.current_time()
        if self._has_survived or now - run.first_chunk_at <= SUSPECT_WINDOW_SECONDS:
            return
        self._has_survived = True
        self._state.crash_detector.record_answer(
            run.request, run.fingerprint, run.first_chunk_at
        )

    def _record_break(self, now: float) -> None:
        """Record that the endpoint was alive until the connection broke."""
        if now - self._sent_at >= MIN_HELD_SECONDS:
            self._state.runs.record_alive(self.endpoint.identity, now)

    def _must_close(self) -> bool:
        if len(self._exchange.body) > MAX_SENT_FIRST_BYTES:
            return True
        value = self.head.header(b"connection") if self.head else None
        return value is not None and b"close" in value.lower()

    def _is_answer(self, head: ResponseHead) -> bool:
        return self._state.dialect.is_answer_to(self._exchange.request, head)

    async def _send(self, head: RequestHead) -> None:
        if len(self._exchange.body) <= MAX_SENT_FIRST_BYTES:
            await self._connection.send(head, self._exchange.body)
            return
        self._exchange.nursery.start_soon(
            self._send_concurrently, self._connection, head
        )
        # The head must be encoded before the answer to it is read.
        await trio.lowlevel.checkpoint()

    async def _send_concurrently(
        self, connection: ClientConnection, head: RequestHead
    ) -> None:
        try:
            await connection.send(head, self._exchange.body)
        except (ExchangeBrokenError, trio.ClosedResourceError):
            # The task that reads the answer detects the failure and handles it.
            return
