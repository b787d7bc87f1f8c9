"""Runs generations on this agent's engine, from admission to their end."""

from __future__ import annotations

from contextlib import aclosing, suppress
from secrets import token_hex

import trio

from piershore.agent.endpoint_worker import (
    EndpointWorker,
    register_worker,
    WorkerContext,
    WorkerLoad,
)
from piershore.agent.engine_reader import EngineReader
from piershore.agent.generation_readers import GenerationReaders
from piershore.agent.pace_meter import PaceMeter
from piershore.agent.refusals import Refusals, Send
from piershore.core.admission.actions import Refuse
from piershore.core.admission.candidate import Candidate, LengthKey
from piershore.core.admission.engine_queue import EngineQueue
from piershore.core.configuration.objects import ServiceType
from piershore.core.ports import EngineClient, EngineTokens, GenerationRequest
from piershore.core.refusal_reason import RefusalReason
from piershore.core.streams.exceptions import TokenGapError
from piershore.core.streams.generation import Ending, Generation, Reader
from piershore.core.streams.stall_detector import StallDetector
from piershore.endpoints.exceptions import (
    EngineBackoffError,
    EngineLostError,
    EngineUnknownGenerationError,
)
from piershore.endpoints.http_engine_client import HttpEngineClient
from piershore.settings.process_settings import AgentSettings
from piershore.telemetry import metrics
from piershore.wire.link_pb2 import Cancel, GatewayFrame, Submit

CHARACTERS_PER_TOKEN = 4
IDENTITY_BYTES = 16
CLEANUP_INTERVAL_SECONDS = 0.5
POLL_INTERVAL_SECONDS = 0.1
MAX_PERMIT_WAIT_SECONDS = 1.0
"""A generation is refused if its engine's rate limit would delay it for longer: another
engine may accept it sooner."""


@register_worker(ServiceType.MODEL)
class GenerationRunner(EndpointWorker):
    """Runs generations on a model engine."""

    def __init__(
        self,
        settings: AgentSettings,
        engine: EngineClient,
        queue: EngineQueue,
        send: Send,
    ) -> None:
        self._settings = settings
        self._engine = engine
        self._queue = queue
        self._submissions: dict[str, Submit] = {}
        self._cancel_scopes: dict[str, trio.CancelScope] = {}
        self._ended_at: dict[str, float] = {}
        self._wake_poll = trio.Event()
        self._stall_detector = StallDetector()
        self._pace_meter = PaceMeter(queue)
        self._refusals = Refusals(send)
        self._readers = GenerationReaders(settings.flush_interval, send, self._refusals)
        self._leaving = False

    @classmethod
    def create(cls, context: WorkerContext) -> GenerationRunner:
        """Build the worker and its connection to the engine."""
        settings = context.settings
        engine = HttpEngineClient(settings.endpoint_url, settings.stall_timeout)
        queue = EngineQueue(context.service.admission)
        runner = cls(settings, engine, queue, context.send)
        engine.set_rate_listener(runner.record_rate)
        return runner

    @property
    def load(self) -> WorkerLoad:
        """The current load."""
        return WorkerLoad(
            running=self._queue.running_count,
            queued=self._queue.queued_count,
            free_share=self._queue.free_share,
            tokens_per_second=self._queue.token_rate,
        )

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs or is queued, and all readers have all their tokens."""
        if self._queue.running_count or self._queue.queued_count:
            return False
        return all(g.is_fully_sent() for g in self._readers.generations)

    async def run(self) -> None:
        """Admit, stream and clean up generations until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_loop, nursery)
            nursery.start_soon(self._readers.run)
            nursery.start_soon(self._cleanup_loop)

    async def close(self) -> None:
        """Send the readers what is pending and close the connection to the engine."""
        self._readers.flush()
        await self._engine.close()

    def leave(self) -> None:
        """Refuse new generations from now on."""
        self._leaving = True

    def record_rate(self, rate: float | None) -> None:
        """Record the rate limit in an answer of the engine.

        `rate` is in requests per second, None if the answer advertises no limit.
        """
        self._refusals.record_rate(rate)

    def frame_received(self, link: int, frame: GatewayFrame) -> None:
        """Handle a frame that concerns a request."""
        match frame.WhichOneof("body"):
            case "submit":
                self.submit(link, frame.submit)
            case "attach":
                self._readers.attach(link, frame.attach)
            case "acknowledge":
                self._readers.acknowledge(link, frame.acknowledge)
            case "cancel":
                self.cancel(link, frame.cancel)
            case "call":
                reason = RefusalReason.KEYS_NOT_SUPPORTED
                self._refusals.refuse(link, frame.call.request, reason)

    def submit(self, link: int, submit: Submit) -> None:
        """Queue a request, or refuse it."""
        if self._leaving:
            self._refusals.refuse(link, submit.request, RefusalReason.LEAVING)
            return
        if self._refusals.backoff_seconds_left:
            self._refusals.refuse_during_backoff(link, submit.request)
            return
        waiting = self._queue.queued_count
        if self._refusals.seconds_until_permit(waiting) > MAX_PERMIT_WAIT_SECONDS:
            self._refusals.refuse_rate_limited(link, submit.request, waiting)
            return
        now = trio.current_time()
        identity = token_hex(IDENTITY_BYTES)
        generation = Generation(
            identity, submit.account, self._settings.retained_tokens, now
        )
        self._readers.add(generation, link, submit.request)
        self._submissions[identity] = submit
        self._queue.submit(self._candidate(identity, submit, now), now)
        self._wake_poll.set()

    def cancel(self, link: int, message: Cancel) -> None:
        """Detach a reader, and abandon its generation if the message says so."""
        generation = self._readers.detach(link, message.request)
        if generation is None:
            return
        if message.abandon and generation.reader is None:
            self._abandon(generation)

    def link_closed(self, link: int) -> None:
        """Detach the readers of a closed link."""
        self._readers.link_closed(link)

    def _candidate(self, identity: str, submit: Submit, now: float) -> Candidate:
        deadline = submit.deadline_seconds
        return Candidate(
            identity=identity,
            length_key=LengthKey(submit.account, submit.kind),
            priority=submit.priority,
            prompt_tokens=len(submit.prompt) // CHARACTERS_PER_TOKEN + 1,
            max_tokens=submit.max_tokens,
            arrived_at=now,
            deadline=now + deadline if deadline > 0 else None,
        )

    async def _poll_loop(self, nursery: trio.Nursery) -> None:
        while True:
            with trio.move_on_after(POLL_INTERVAL_SECONDS):
                await self._wake_poll.wait()
            self._wake_poll = trio.Event()
            if self._refusals.backoff_seconds_left:
                self._refuse_all_queued()
            now = trio.current_time()
            for action in self._queue.poll(now, self._has_permit):
                if isinstance(action, Refuse):
                    self._refuse_queued(action)
                else:
                    self._refusals.try_acquire_permit()
                    self._readers.send_accepted(action.candidate.identity)
                    nursery.start_soon(self._generate, action.candidate)

    def _has_permit(self) -> bool:
        return not self._refusals.seconds_until_permit()

    def _refuse_queued(self, action: Refuse) -> None:
        reader = self._drop_not_run(action.candidate.identity)
        if reader is not None:
            self._refusals.refuse(
                reader.link,
                reader.request,
                action.reason,
                retry_after=action.retry_after,
            )

    def _drop_not_run(self, identity: str) -> Reader | None:
        """Drop a generation that has not run and return its reader, if any."""
        self._submissions.pop(identity, None)
        return self._readers.drop(identity)

    def _refuse_all_queued(self) -> None:
        """Refuse all queued generations: another engine may have capacity for them."""
        for candidate in self._queue.waiting():
            self._queue.withdraw(candidate.identity)
            self._refuse_during_backoff(candidate.identity)

    def _refuse_during_backoff(self, identity: str) -> None:
        reader = self._drop_not_run(identity)
        if reader is not None:
            self._refusals.refuse_during_backoff(reader.link, reader.request)

    async def _generate(self, candidate: Candidate) -> None:
        identity = candidate.identity
        generation = self._readers.get(identity)
        submit = self._submissions.pop(identity)
        request = GenerationRequest(
            identity, submit.prompt, submit.max_tokens, submit.priority
        )
        ending = Ending(RefusalReason.CANCELLED)
        with trio.CancelScope() as scope:
            self._cancel_scopes[identity] = scope
            try:
                ending = Ending(await self._read(generation, request))
            except EngineBackoffError as error:
                self._refusals.record_backoff(error.seconds)
                self._refuse_unstarted(identity)
                return
        self._cancel_scopes.pop(identity, None)
        generation.end(ending)
        self._ended_at[identity] = trio.current_time()
        self._queue.finish(identity, is_complete=ending.reason is None)
        self._readers.mark_pending(identity)
        self._wake_poll.set()
        if ending.reason is not None:
            with trio.CancelScope(shield=True), suppress(EngineLostError):
                await self._engine.cancel(identity)

    def _refuse_unstarted(self, identity: str) -> None:
        """Refuse a generation that the engine refused before it began."""
        self._cancel_scopes.pop(identity, None)
        self._queue.finish(identity, is_complete=False)
        self._refuse_during_backoff(identity)
        self._wake_poll.set()

    async def _read(
        self, generation: Generation, request: GenerationRequest
    ) -> RefusalReason | None:
        reader = EngineReader(self._engine, request)
        try:
            async with aclosing(reader.read()) as source:
                async for tokens in source:
                    self._append_tokens(generation, tokens)
        except (EngineLostError, EngineUnknownGenerationError, TokenGapError):
            return RefusalReason.ENGINE_LOST
        return None

    def _append_tokens(self, generation: Generation, tokens: EngineTokens) -> None:
        now = trio.current_time()
        gap = now - generation.last_token_at
        is_first = generation.next_index == 0
        new_count = generation.append(tokens.first_index, tokens.tokens, now)
        if not new_count:
            return
        self._queue.record_progress(generation.identity, new_count)
        self._pace_meter.count_tokens(new_count)
        metrics.TOKENS.inc(new_count)
        if is_first:
            self._readers.mark_pending(generation.identity)
            self._readers.flush()
            return
        stall_seconds = self._stall_detector.observe(gap / new_count)
        if stall_seconds:
            metrics.STALLS.inc()
            metrics.STALL_SECONDS.inc(stall_seconds)
        self._pace_meter.observe(
            generation.identity, gap / new_count, now, self._cancel_scopes
        )
        self._readers.mark_pending(generation.identity)

    async def _cleanup_loop(self) -> None:
        grace = self._settings.resume_grace
        while True:
            await trio.sleep(CLEANUP_INTERVAL_SECONDS)
            now = trio.current_time()
            for generation in list(self._readers.generations):
                if generation.is_abandoned(now, grace):
                    self._abandon(generation)
                ended_at = self._ended_at.get(generation.identity)
                if ended_at is not None and now - ended_at > grace:
                    self._drop_if_delivered(generation)

    def _abandon(self, generation: Generation) -> None:
        identity = generation.identity
        if self._queue.withdraw(identity):
            self._submissions.pop(identity, None)
            self._drop_if_delivered(generation)
        elif identity in self._cancel_scopes:
            self._cancel_scopes[identity].cancel()
        elif identity in self._ended_at:
            self._drop_if_delivered(generation)

    def _drop_if_delivered(self, generation: Generation) -> None:
        if generation.reader is not None and not generation.is_fully_sent():
            return
        self._readers.drop(generation.identity)
        self._ended_at.pop(generation.identity, None)
