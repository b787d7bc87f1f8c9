"""Generations on the engine beside this agent: admission, streams, readers."""

from __future__ import annotations

from contextlib import aclosing, suppress
from secrets import token_hex

import trio

from piershore.agent.endpoint_work import (
    endpoint_work,
    EndpointWork,
    WorkContext,
    WorkLoad,
)
from piershore.agent.engine_reader import EngineReader
from piershore.agent.pace_probe import PaceProbe
from piershore.agent.refusals import Refusals, Send
from piershore.agent.stream_sender import StreamSender
from piershore.core.admission.actions import Refuse
from piershore.core.admission.candidate import Candidate, LengthKey
from piershore.core.admission.engine_queue import EngineQueue
from piershore.core.configuration.objects import ServiceType
from piershore.core.outcome import Outcome
from piershore.core.ports import EngineClient, EngineTokens, GenerationRequest
from piershore.core.refusal_reason import RefusalReason
from piershore.core.streams.exceptions import TokenGapError, WindowPassedError
from piershore.core.streams.generation import Ending, Generation, Reader
from piershore.core.streams.stall_detector import StallDetector
from piershore.endpoints.exceptions import (
    EngineLostError,
    EngineRestingError,
    EngineUnknownGenerationError,
)
from piershore.endpoints.http_engine_client import HttpEngineClient
from piershore.settings.process_settings import AgentSettings
from piershore.telemetry import metrics
from piershore.wire.link_pb2 import (
    Accepted,
    Acknowledge,
    AgentFrame,
    Attach,
    Cancel,
    Ended,
    GatewayFrame,
    Submit,
)

CHARACTERS_PER_TOKEN = 4
IDENTITY_BYTES = 16
JANITOR_PERIOD_SECONDS = 0.5
POLL_PERIOD_SECONDS = 0.1


@endpoint_work(ServiceType.MODEL)
class GenerationRunner(EndpointWork):
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
        self._send = send
        self._generations: dict[str, Generation] = {}
        self._prompts: dict[str, Submit] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._ended_at: dict[str, float] = {}
        self._names: dict[tuple[int, int], str] = {}
        self._sender = StreamSender(self._generations, settings.flush_interval, send)
        self._wake_poll = trio.Event()
        self._stalls = StallDetector()
        self._pace = PaceProbe(queue)
        self._refusals = Refusals(send)
        self._leaving = False

    @classmethod
    def create(cls, context: WorkContext) -> GenerationRunner:
        """Build the work and its connection to the engine."""
        settings = context.settings
        engine = HttpEngineClient(settings.endpoint_url, settings.stall_timeout)
        queue = EngineQueue(context.service.admission)
        return cls(settings, engine, queue, context.send)

    @property
    def load(self) -> WorkLoad:
        """The load now."""
        return WorkLoad(
            running=self._queue.running_count,
            queued=self._queue.queued_count,
            free_share=self._queue.free_share,
            tokens_per_second=self._queue.token_rate,
        )

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs, waits, or has a reader who lacks tokens."""
        if self._queue.running_count or self._queue.queued_count:
            return False
        return all(g.is_drained() for g in self._generations.values())

    async def run(self) -> None:
        """Admit, stream and clean up until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_loop, nursery)
            nursery.start_soon(self._sender.run)
            nursery.start_soon(self._janitor_loop)

    async def close(self) -> None:
        """Send what is left for the readers; close the connection to the engine."""
        self._sender.flush()
        await self._engine.close()

    def leave(self) -> None:
        """Refuse new work from now on."""
        self._leaving = True

    def frame_received(self, link: int, frame: GatewayFrame) -> None:
        """Handle a request's frame."""
        match frame.WhichOneof("body"):
            case "submit":
                self.submit(link, frame.submit)
            case "attach":
                self.attach(link, frame.attach)
            case "acknowledge":
                self.acknowledge(link, frame.acknowledge)
            case "cancel":
                self.cancel(link, frame.cancel)
            case "call":
                reason = RefusalReason.KEYS_NOT_SUPPORTED
                self._refusals.refuse(link, frame.call.request, reason)

    def submit(self, link: int, submit: Submit) -> None:
        """Take a request into the queue, or refuse it."""
        if self._leaving:
            self._refusals.refuse(link, submit.request, RefusalReason.LEAVING)
            return
        if self._refusals.seconds_to_rest:
            self._refusals.refuse_resting(link, submit.request)
            return
        now = trio.current_time()
        identity = token_hex(IDENTITY_BYTES)
        generation = Generation(
            identity, submit.account, self._settings.retained_tokens, now
        )
        generation.attach(link, submit.request, 0)
        self._generations[identity] = generation
        self._names[link, submit.request] = identity
        self._prompts[identity] = submit
        self._queue.submit(self._candidate(identity, submit, now), now)
        self._wake_poll.set()

    def attach(self, link: int, attach: Attach) -> None:
        """Give a reader the tokens of a generation from its index on."""
        generation = self._generations.get(attach.generation)
        if generation is None or generation.account != attach.account:
            self._refusals.refuse(
                link,
                attach.request,
                RefusalReason.GENERATION_UNKNOWN,
                Outcome.UNKNOWN,
            )
            return
        try:
            superseded = generation.attach(link, attach.request, attach.index)
        except WindowPassedError:
            self._refusals.refuse(
                link, attach.request, RefusalReason.RESUME_WINDOW_PASSED, Outcome.RUN
            )
            return
        if superseded is not None:
            self._cut_off(superseded)
        metrics.RESUMES.labels(by="reader").inc()
        self._names[link, attach.request] = attach.generation
        self._send(link, _accepted(attach.request, attach.generation))
        self._sender.mark(attach.generation)

    def acknowledge(self, link: int, message: Acknowledge) -> None:
        """Note how far the reader has come."""
        identity = self._names.get((link, message.request))
        if identity in self._generations:
            self._generations[identity].acknowledge(
                link, message.request, message.index
            )
            self._sender.mark(identity)

    def cancel(self, link: int, message: Cancel) -> None:
        """Note that the reader is gone, perhaps for good."""
        identity = self._names.pop((link, message.request), None)
        generation = self._generations.get(identity)
        if generation is None:
            return
        generation.detach(link, message.request, trio.current_time())
        if message.abandon and generation.reader is None:
            self._abandon(generation)

    def link_closed(self, link: int) -> None:
        """Detach the readers of a link that is gone."""
        now = trio.current_time()
        for place in [place for place in self._names if place[0] == link]:
            generation = self._generations.get(self._names.pop(place))
            if generation is not None:
                generation.detach(*place, now)

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
            with trio.move_on_after(POLL_PERIOD_SECONDS):
                await self._wake_poll.wait()
            self._wake_poll = trio.Event()
            if self._refusals.seconds_to_rest:
                self._refuse_waiting()
            for action in self._queue.poll(trio.current_time()):
                if isinstance(action, Refuse):
                    self._refuse_queued(action)
                else:
                    self._accept(action.candidate)
                    nursery.start_soon(self._generate, action.candidate)

    def _refuse_queued(self, action: Refuse) -> None:
        reader = self._drop_unrun(action.candidate.identity)
        if reader is not None:
            self._refusals.refuse(
                reader.link,
                reader.request,
                action.reason,
                retry_after=action.retry_after,
            )

    def _drop_unrun(self, identity: str) -> Reader | None:
        """Drop a generation that has not run; return who still waits for it."""
        generation = self._generations.pop(identity)
        self._prompts.pop(identity, None)
        reader = generation.reader
        if reader is not None:
            self._names.pop((reader.link, reader.request), None)
        return reader

    def _refuse_waiting(self) -> None:
        """Refuse what waits in the queue: another engine may have room for it."""
        for candidate in self._queue.waiting():
            self._queue.withdraw(candidate.identity)
            self._refuse_rested(candidate.identity)

    def _refuse_rested(self, identity: str) -> None:
        reader = self._drop_unrun(identity)
        if reader is not None:
            self._refusals.refuse_resting(reader.link, reader.request)

    def _accept(self, candidate: Candidate) -> None:
        reader = self._generations[candidate.identity].reader
        if reader is not None:
            self._send(reader.link, _accepted(reader.request, candidate.identity))

    async def _generate(self, candidate: Candidate) -> None:
        identity = candidate.identity
        generation = self._generations[identity]
        submit = self._prompts.pop(identity)
        request = GenerationRequest(
            identity, submit.prompt, submit.max_tokens, submit.priority
        )
        ending = Ending(RefusalReason.CANCELLED)
        with trio.CancelScope() as scope:
            self._scopes[identity] = scope
            try:
                ending = Ending(await self._read(generation, request))
            except EngineRestingError as error:
                self._refusals.note_rest(error.seconds)
                self._give_back(identity)
                return
        self._scopes.pop(identity, None)
        generation.end(ending)
        self._ended_at[identity] = trio.current_time()
        self._queue.finish(identity, whole=ending.reason is None)
        self._sender.mark(identity)
        self._wake_poll.set()
        if ending.reason is not None:
            with trio.CancelScope(shield=True), suppress(EngineLostError):
                await self._engine.cancel(identity)

    def _give_back(self, identity: str) -> None:
        """Refuse a generation that the engine has turned away before it began."""
        self._scopes.pop(identity, None)
        self._queue.finish(identity, whole=False)
        self._refuse_rested(identity)
        self._wake_poll.set()

    async def _read(
        self, generation: Generation, request: GenerationRequest
    ) -> RefusalReason | None:
        reader = EngineReader(self._engine, request)
        try:
            async with aclosing(reader.read()) as source:
                async for tokens in source:
                    self._take(generation, tokens)
        except (EngineLostError, EngineUnknownGenerationError, TokenGapError):
            return RefusalReason.ENGINE_LOST
        return None

    def _take(self, generation: Generation, tokens: EngineTokens) -> None:
        now = trio.current_time()
        gap = now - generation.last_token_at
        is_first = generation.next_index == 0
        new = generation.append(tokens.first_index, tokens.tokens, now)
        if not new:
            return
        self._queue.progress(generation.identity, new)
        self._pace.count(new)
        metrics.TOKENS.inc(new)
        if is_first:
            self._sender.mark(generation.identity)
            self._sender.flush()
            return
        stalled = self._stalls.observe(gap / new)
        if stalled:
            metrics.STALLS.inc()
            metrics.STALL_SECONDS.inc(stalled)
        self._pace.observe(generation.identity, gap / new, now, self._scopes)
        self._sender.mark(generation.identity)

    async def _janitor_loop(self) -> None:
        grace = self._settings.resume_grace
        while True:
            await trio.sleep(JANITOR_PERIOD_SECONDS)
            now = trio.current_time()
            for generation in list(self._generations.values()):
                if generation.is_abandoned(now, grace):
                    self._abandon(generation)
                ended_at = self._ended_at.get(generation.identity)
                if ended_at is not None and now - ended_at > grace:
                    self._forget(generation)

    def _abandon(self, generation: Generation) -> None:
        identity = generation.identity
        if self._queue.withdraw(identity):
            self._prompts.pop(identity, None)
            self._forget(generation)
        elif identity in self._scopes:
            self._scopes[identity].cancel()
        elif identity in self._ended_at:
            self._forget(generation)

    def _forget(self, generation: Generation) -> None:
        if generation.reader is not None and not generation.is_drained():
            return
        self._generations.pop(generation.identity, None)
        self._ended_at.pop(generation.identity, None)
        reader = generation.reader
        if reader is not None:
            self._names.pop((reader.link, reader.request), None)

    def _cut_off(self, reader: Reader) -> None:
        self._names.pop((reader.link, reader.request), None)
        ended = Ended(request=reader.request, reason=RefusalReason.SUPERSEDED_READER)
        self._send(reader.link, AgentFrame(ended=ended))


def _accepted(request: int, generation: str) -> AgentFrame:
    return AgentFrame(accepted=Accepted(request=request, generation=generation))
