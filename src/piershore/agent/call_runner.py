"""Runs calls on this agent's plain service; non-repeatable ones need a claim."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio

from piershore.agent.endpoint_worker import (
    EndpointWorker,
    register_worker,
    WorkerContext,
    WorkerLoad,
)
from piershore.agent.lease_keeper import LeaseKeeper
from piershore.agent.refusals import Refusals
from piershore.core.configuration.objects import ObjectKind, ServiceType
from piershore.core.outcome import Outcome
from piershore.core.ownership.claim import (
    Answer,
    AwaitKey,
    RefuseKey,
    ReplayAnswer,
    RunKey,
)
from piershore.core.ownership.exceptions import InvalidKeyError
from piershore.core.ownership.interval import SlotInterval
from piershore.core.ownership.minted_key import MintedKey
from piershore.core.ownership.slot_owner import SlotOwner
from piershore.core.ports import ServiceClient
from piershore.core.refusal_reason import RefusalReason
from piershore.endpoints.exceptions import CallNotSentError, CallOutcomeUnknownError
from piershore.endpoints.http_service_client import HttpServiceClient
from piershore.telemetry import metrics
from piershore.wire.link_pb2 import (
    AgentFrame,
    Answered,
    Call,
    GatewayFrame,
)

MAX_RUNNING_CALLS = 1_024
CLAIM_EXPIRY_INTERVAL_SECONDS = 5.0
LEASE_RELEASE_TIMEOUT_SECONDS = 3.0
MILLISECONDS_PER_SECOND = 1_000


@dataclass(frozen=True)
class Waiter:
    """A gateway's request that waits for the answer of a call."""

    link: int
    request: int


@register_worker(ServiceType.PLAIN)
class CallRunner(EndpointWorker):
    """Runs calls on a plain service.

    Calls with a non-repeatable key run only if this agent owns the key, and at most
    once.
    """

    def __init__(self, context: WorkerContext, client: ServiceClient) -> None:
        self._service_name = context.settings.service
        self._client = client
        self._config = context.config
        self._send = context.send
        self._owner = SlotOwner(
            self._service_name, context.owner, context.settings.ownership
        )
        self._lease_keeper = LeaseKeeper(
            self._service_name,
            self._owner,
            context.store,
            context.config,
            context.request_heartbeat,
        )
        self._waiters: dict[str, list[Waiter]] = defaultdict(list)
        self._running = 0
        self._refusals = Refusals(context.send)
        self._leaving = False
        self._nursery: trio.Nursery | None = None

    @classmethod
    def create(cls, context: WorkerContext) -> CallRunner:
        """Build the worker and its connection to the service."""
        return cls(context, HttpServiceClient(context.settings.endpoint_url))

    @property
    def load(self) -> WorkerLoad:
        """The current load."""
        return WorkerLoad(running=self._running)

    @property
    def is_idle(self) -> bool:
        """Whether no call is running."""
        return self._running == 0

    @property
    def intervals(self) -> Iterable[SlotInterval]:
        """Intervals of mint times whose non-repeatable keys this agent may run."""
        return self._owner.intervals()

    async def run(self) -> None:
        """Run calls and maintain the leases until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._lease_keeper.run)
            while True:
                await trio.sleep(CLAIM_EXPIRY_INTERVAL_SECONDS)
                self._owner.drop_expired_claims(
                    int(time.time() * MILLISECONDS_PER_SECOND)
                )

    async def close(self) -> None:
        """Try to release the leases, then close the connection to the service."""
        with trio.move_on_after(LEASE_RELEASE_TIMEOUT_SECONDS):
            await self._lease_keeper.update_leases()
        await self._client.close()

    def leave(self) -> None:
        """Refuse new calls from now on."""
        self._leaving = True
        self._owner.leave()

    def frame_received(self, link: int, frame: GatewayFrame) -> None:
        """Handle a frame that concerns a request."""
        match frame.WhichOneof("body"):
            case "call":
                self.call(link, frame.call)
            case "submit":
                waiter = Waiter(link, frame.submit.request)
                reason = RefusalReason.KEYS_NOT_SUPPORTED
                self._refuse(waiter, reason, Outcome.NOT_RUN)

    def link_closed(self, link: int) -> None:
        """Keep calls running: their answers are kept for retries with the same key."""

    def call(self, link: int, call: Call) -> None:
        """Run a call, wait for a running one, replay a stored answer, or refuse."""
        waiter = Waiter(link, call.request)
        if self._is_non_repeatable(call):
            self._call_non_repeatable(waiter, call)
        elif self._leaving:
            self._refuse(waiter, RefusalReason.LEAVING, Outcome.NOT_RUN)
        elif self._running >= MAX_RUNNING_CALLS:
            self._refuse(waiter, RefusalReason.QUEUE_FULL, Outcome.NOT_RUN)
        elif not self._refusals.refuse_if_unavailable(waiter.link, waiter.request):
            self._spawn(self._run_repeatable, waiter, call)

    def _is_non_repeatable(self, call: Call) -> bool:
        # The gateway's configuration may be newer or older than this agent's: the
        # stricter of the two applies.
        if call.non_repeatable:
            return True
        service = self._config.get(ObjectKind.SERVICE, self._service_name)
        if service is not None and call.kind in service.non_repeatable_kinds:
            return True
        account = self._config.get(ObjectKind.ACCOUNT, call.account)
        if account is None:
            return False
        template = self._config.get(ObjectKind.TEMPLATE, account.template)
        parameter_sets = [
            account.overrides,
            *([template.parameters] if template else []),
        ]
        return any(call.kind in (p.non_repeatable_kinds or ()) for p in parameter_sets)

    def _call_non_repeatable(self, waiter: Waiter, call: Call) -> None:
        try:
            key = MintedKey.parse(call.key)
        except InvalidKeyError:
            reason = RefusalReason.INVALID_IDEMPOTENCY_KEY
            self._refuse(waiter, reason, Outcome.NOT_RUN)
            return
        decision = self._owner.decide(key)
        match decision:
            case RunKey() if self._running >= MAX_RUNNING_CALLS:
                self._owner.unclaim(key)
                self._refuse(waiter, RefusalReason.QUEUE_FULL, Outcome.NOT_RUN)
            case RunKey() if self._refusals.refuse_if_unavailable(
                waiter.link, waiter.request
            ):
                self._owner.unclaim(key)
            case RunKey():
                self._waiters[key.text].append(waiter)
                self._spawn(self._run_claimed, key, call)
            case AwaitKey():
                self._waiters[key.text].append(waiter)
            case ReplayAnswer(answer=answer):
                self._answer(waiter, answer)
            case RefuseKey(reason=reason, outcome=outcome):
                self._refuse(waiter, reason, outcome)

    def _spawn(self, function: Callable, *arguments: object) -> None:
        self._running += 1
        self._nursery.start_soon(self._run_counted, function, *arguments)

    async def _run_counted(self, function: Callable, *arguments: object) -> None:
        try:
            await function(*arguments)
        finally:
            self._running -= 1

    async def _run_repeatable(self, waiter: Waiter, call: Call) -> None:
        try:
            answer = await self._call_service(call.key, call)
        except CallNotSentError:
            reason = RefusalReason.ENDPOINT_UNREACHABLE
            self._refuse(waiter, reason, Outcome.NOT_RUN)
        except CallOutcomeUnknownError:
            self._refuse(waiter, RefusalReason.ENDPOINT_FAILED, Outcome.UNKNOWN)
        else:
            self._answer(waiter, answer)

    async def _run_claimed(self, key: MintedKey, call: Call) -> None:
        try:
            answer = await self._call_service(key.text, call)
        except CallNotSentError:
            self._owner.unclaim(key)
            reason = RefusalReason.ENDPOINT_UNREACHABLE
            for waiter in self._waiters.pop(key.text):
                self._refuse(waiter, reason, Outcome.NOT_RUN)
        except CallOutcomeUnknownError:
            self._owner.mark_unknown(key)
            for waiter in self._waiters.pop(key.text):
                self._refuse(waiter, RefusalReason.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
        else:
            self._owner.finish(key, answer)
            for waiter in self._waiters.pop(key.text):
                self._answer(waiter, answer)

    async def _call_service(self, key: str, call: Call) -> Answer:
        answer = await self._client.call(key, call.kind, call.body)
        self._refusals.record_rate(answer.rate_limit)
        if answer.rest_seconds is not None:
            self._refusals.record_backoff(answer.rest_seconds)
        return answer

    def _answer(self, waiter: Waiter, answer: Answer) -> None:
        metrics.ANSWERS.labels(type="plain").inc()
        answered = Answered(
            request=waiter.request, status=answer.status, body=answer.body
        )
        self._send(waiter.link, AgentFrame(answered=answered))

    def _refuse(self, waiter: Waiter, reason: RefusalReason, outcome: Outcome) -> None:
        self._refusals.refuse(waiter.link, waiter.request, reason, outcome)
