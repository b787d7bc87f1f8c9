"""Generations on the gateway's side: attempts, resumption and complete answers."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import aclosing

import trio

from piershore.core.outcome import Outcome
from piershore.core.quarantine.endpoint_runs import (
    EndpointRun,
    SUSPECT_WINDOW_SECONDS,
)
from piershore.core.quarantine.request_quarantine import RequestQuarantine
from piershore.core.refusal_reason import RefusalReason
from piershore.core.streams.event_id import EventId
from piershore.gateway.agent_link import AgentLink, LinkRequest
from piershore.gateway.agent_links import AgentLinks
from piershore.gateway.exceptions import LinkLostError, RequestRefusedError
from piershore.gateway.refusals import DEFAULT_RETRY_AFTER_SECONDS, read_refusal
from piershore.gateway.request_attempts import RequestAttempts
from piershore.gateway.requested_generation import RequestedGeneration, TokenChunk
from piershore.gateway.retry_quota import RetryQuota
from piershore.telemetry import metrics
from piershore.wire.link_pb2 import (
    Accepted,
    Acknowledge,
    Attach,
    Ended,
    Refused,
    StreamTokens,
    Submit,
)

REATTACH_TIMEOUT_SECONDS = 5.0


class GenerationService:
    """Run generations over the links; `timeout` in seconds bounds an answer."""

    def __init__(self, links: AgentLinks, retries: RetryQuota, timeout: float) -> None:
        self._links = links
        self._retries = retries
        self._timeout = timeout
        self._quarantine = RequestQuarantine()

    async def stream(self, request: RequestedGeneration) -> AsyncIterator[TokenChunk]:
        """Yield each token once, in order, from one generation.

        A generation that fails before its first token may be retried at another
        endpoint. After the first token, a failure ends the stream with an error.
        """
        self._check_quarantine(request)
        attempts = RequestAttempts(self._links, self._retries)
        while True:
            run = _new_run(request)
            try:
                async with aclosing(
                    self._attempt(attempts, request, resumable=True)
                ) as chunks:
                    async for chunk in chunks:
                        self._record_chunk(run)
                        yield chunk
                self._record_completion(run)
                return
            except RequestRefusedError as error:
                self._record_loss(attempts, run, error)
                if run.has_answered:
                    raise
                self._record_failure(attempts, request, error)

    async def complete(self, request: RequestedGeneration) -> tuple[str, ...]:
        """Return all tokens of one complete generation."""
        self._check_quarantine(request)
        attempts = RequestAttempts(self._links, self._retries)
        while True:
            collected: list[str] = []
            run = _new_run(request)
            try:
                async with aclosing(
                    self._attempt(attempts, request, resumable=False)
                ) as chunks:
                    async for chunk in chunks:
                        self._record_chunk(run)
                        collected.extend(chunk.tokens)
                self._record_completion(run)
                return tuple(collected)
            except RequestRefusedError as error:
                self._record_loss(attempts, run, error)
                self._record_failure(attempts, request, error)

    async def resume(
        self, account: str, event_id: EventId
    ) -> AsyncIterator[TokenChunk]:
        """Yield the tokens of a running generation that follow the event id."""
        link = self._links.find_or_open(event_id.endpoint, event_id.incarnation)
        if link is None or not await link.wait_open(REATTACH_TIMEOUT_SECONDS):
            raise RequestRefusedError(
                RefusalReason.AGENT_LOST,
                "the agent that held this generation is gone",
                Outcome.UNKNOWN,
            )
        metrics.RESUMES.labels(by="caller").inc()
        reader = _GenerationReader(link, account, self._timeout, resumable=True)
        reader.attach(event_id.generation, event_id.next_index)
        async with aclosing(reader.read()) as chunks:
            async for chunk in chunks:
                yield chunk

    def _check_quarantine(self, request: RequestedGeneration) -> None:
        """Refuse a request that is quarantined because engines crashed on it.

        Each retry could crash another engine, with all generations that run there.
        """
        seconds = self._quarantine.seconds_until_release(
            request.fingerprint, trio.current_time()
        )
        if seconds is not None:
            raise RequestRefusedError(
                RefusalReason.QUARANTINED,
                "engines were lost under this request; it is not sent on for now",
                retry_after=seconds,
            )

    def _record_loss(
        self, attempts: RequestAttempts, run: EndpointRun, error: RequestRefusedError
    ) -> None:
        """Suspect a generation of its engine's loss, unless it had run for a while."""
        if error.reason is not RefusalReason.ENGINE_LOST:
            return
        now = trio.current_time()
        if attempts.is_previous_refusal(error) or not run.is_suspect(now):
            return
        # A restarted engine keeps its agent's name; the time tells them apart.
        engine = f"{attempts.endpoint}@{now}"
        self._quarantine.record_crash(run.fingerprint, engine, now)

    def _record_failure(
        self,
        attempts: RequestAttempts,
        request: RequestedGeneration,
        error: RequestRefusedError,
    ) -> None:
        """Spend a retry; raise `error` if no further attempt is allowed."""
        now = trio.current_time()
        attempts.record_failure(error)
        if self._quarantine.seconds_until_release(request.fingerprint, now) is not None:
            raise error

    def _record_chunk(self, run: EndpointRun) -> None:
        """Record tokens of an answer; one that goes on for long clears its traits."""
        now = trio.current_time()
        run.record_chunk(now)
        if now - run.first_chunk_at > SUSPECT_WINDOW_SECONDS:
            self._quarantine.record_answer(run.fingerprint, run.first_chunk_at, now)

    def _record_completion(self, run: EndpointRun) -> None:
        """Record that a generation completed, which clears it of crashes."""
        now = trio.current_time()
        self._quarantine.record_completion(run.fingerprint, run.first_chunk_at, now)

    async def _attempt(
        self,
        attempts: RequestAttempts,
        request: RequestedGeneration,
        *,
        resumable: bool,
    ) -> AsyncIterator[TokenChunk]:
        link = attempts.next_link(request.service, request.prompt)
        self._quarantine.record_sent(request.fingerprint, trio.current_time())
        reader = _GenerationReader(link, request.account, self._timeout, resumable)
        reader.submit(request)
        async with aclosing(reader.read()) as chunks:
            async for chunk in chunks:
                yield chunk


def _new_run(request: RequestedGeneration) -> EndpointRun:
    return EndpointRun(request.content, request.content, request.fingerprint.traits)


class _GenerationReader:
    """Read one generation, and attach to it again if its link is lost.

    A generation that isn't `resumable` is cancelled as soon as its caller disconnects.
    """

    def __init__(
        self, link: AgentLink, account: str, timeout: float, resumable: bool
    ) -> None:
        self._resumable = resumable
        self._link = link
        self._incarnation = link.newest_incarnation
        self._account = account
        self._deadline = trio.current_time() + timeout
        self._request: LinkRequest | None = None
        self._generation: str | None = None
        self._next_index = 0

    def submit(self, request: RequestedGeneration) -> None:
        """Request a new generation."""
        self._request = self._open()
        self._request.send(
            submit=Submit(
                request=self._request.number,
                account=request.account,
                service=request.service,
                kind=request.kind,
                priority=request.priority,
                prompt=request.prompt,
                max_tokens=request.max_tokens,
                deadline_seconds=request.first_token_timeout_seconds,
            )
        )

    def attach(self, generation: str, index: int) -> None:
        """Request the tokens of a running generation, starting at `index`."""
        self._generation = generation
        self._next_index = index
        self._request = self._open()
        self._request.send(
            attach=Attach(
                request=self._request.number,
                account=self._account,
                incarnation=self._incarnation,
                generation=generation,
                index=index,
            )
        )

    async def read(self) -> AsyncIterator[TokenChunk]:
        """Yield tokens until the generation is complete.

        Raise `RequestRefusedError` if it ends in any other way.
        """
        ended = False
        try:
            while not ended:
                frame = await self._receive()
                match frame:
                    case StreamTokens():
                        chunk = self._receive_tokens(frame)
                        if chunk is not None:
                            yield chunk
                            self._acknowledge()
                    case Accepted():
                        self._generation = frame.generation
                    case Refused():
                        ended = True
                        raise read_refusal(self._link, frame)
                    case Ended():
                        ended = True
                        self._check_end(frame)
        finally:
            self._request.close(cancel=not ended, abandon=not self._resumable)

    def _open(self) -> LinkRequest:
        try:
            return self._link.open_request()
        except LinkLostError as error:
            raise RequestRefusedError(
                RefusalReason.ENDPOINT_UNREACHABLE, error.message
            ) from error

    async def _receive(self) -> object:
        while True:
            try:
                with trio.move_on_at(self._deadline):
                    return await self._request.receive()
                raise RequestRefusedError(
                    RefusalReason.DEADLINE_PASSED,
                    "the answer took too long",
                    self._outcome(),
                )
            except LinkLostError:
                await self._reattach()

    async def _reattach(self) -> None:
        is_reconnected = self._generation is not None and (
            await self._link.wait_open(REATTACH_TIMEOUT_SECONDS)
        )
        if not is_reconnected or self._link.incarnation != self._incarnation:
            raise RequestRefusedError(
                RefusalReason.AGENT_LOST,
                "the agent that held this generation is gone",
                self._outcome(),
            )
        metrics.RESUMES.labels(by="gateway").inc()
        self.attach(self._generation, self._next_index)

    def _receive_tokens(self, frame: StreamTokens) -> TokenChunk | None:
        new = frame.tokens[max(0, self._next_index - frame.first_index) :]
        if frame.first_index > self._next_index or not new:
            return None
        self._next_index += len(new)
        event_id = EventId(
            self._link.state.name,
            self._incarnation,
            self._generation or "",
            self._next_index,
        )
        return TokenChunk(tuple(new), event_id.encode())

    def _acknowledge(self) -> None:
        self._request.send(
            acknowledge=Acknowledge(
                request=self._request.number, index=self._next_index
            )
        )

    def _check_end(self, frame: Ended) -> None:
        if not frame.reason and frame.next_index == self._next_index:
            metrics.ANSWERS.labels(type="model").inc()
            return
        reason = frame.reason or RefusalReason.INTERNAL_ERROR
        raise RequestRefusedError(
            RefusalReason(reason),
            f"the generation ended early: {reason}",
            self._outcome(),
            retry_after=DEFAULT_RETRY_AFTER_SECONDS,
        )

    def _outcome(self) -> Outcome:
        return Outcome.RUN if self._next_index else Outcome.UNKNOWN
