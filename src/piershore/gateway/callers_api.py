"""The HTTP API for callers."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass
from datetime import datetime, UTC
from uuid import uuid4

import orjson
import trio
from quart import Blueprint, request, Response

from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.effective_account import EffectiveAccount
from piershore.core.configuration.objects import ObjectKind, Service, ServiceType
from piershore.core.limits.account_limiter import AccountLimiter, AccountLimits
from piershore.core.outcome import Outcome
from piershore.core.ownership.exceptions import InvalidKeyError
from piershore.core.ownership.minted_key import MintedKey
from piershore.core.refusal_reason import RefusalReason
from piershore.core.streams.event_id import EventId
from piershore.core.streams.exceptions import InvalidEventIdError
from piershore.gateway.admission import Admission
from piershore.gateway.call_service import CallService, RequestedCall
from piershore.gateway.chat_request import CallRequest, ChatRequest, DEFAULT_KIND
from piershore.gateway.exceptions import RequestRefusedError
from piershore.gateway.generation_service import GenerationService
from piershore.gateway.problem import problem_body
from piershore.gateway.request_reader import RequestReader
from piershore.gateway.requested_generation import RequestedGeneration, TokenChunk
from piershore.telemetry import metrics

EVENT_STREAM = "text/event-stream"
KEY_HEADER = "Idempotency-Key"
RESUME_HEADER = "Last-Event-ID"
MILLISECONDS = 1_000


@dataclass(frozen=True)
class CallersApiDependencies:
    """Dependencies of the callers' API."""

    view: ConfigView
    reader: RequestReader
    limiter: AccountLimiter
    generations: GenerationService
    calls: CallService


class CallersApi:
    """HTTP handlers of the callers' API."""

    def __init__(self, services: CallersApiDependencies) -> None:
        self._view = services.view
        self._reader = services.reader
        self._limiter = services.limiter
        self._generations = services.generations
        self._calls = services.calls

    def blueprint(self) -> Blueprint:
        """Return the routes of the API."""
        routes = Blueprint("callers", __name__)
        routes.post("/v1/chat/completions")(self.chat)
        routes.post("/v1/call/<service>")(self.call)
        routes.post("/v1/keys/<service>")(self.mint_key)
        return routes

    async def chat(self) -> Response:
        """Generate an answer, as a stream or as one body."""
        account = self._reader.authenticate()
        body = await self._reader.read(ChatRequest)
        service = self._find_service(account, body.model, ServiceType.MODEL)
        self._check_kind(service, body.metadata.kind)
        if self._is_non_repeatable(account, service, body.metadata.kind):
            raise RequestRefusedError(
                RefusalReason.KEYS_NOT_SUPPORTED,
                "a generation can't be asked for as not repeatable",
            )
        event_id = self._event_id()
        admission = self._admit(account)
        try:
            if event_id is not None:
                chunks = self._generations.resume(account.name, event_id)
                return await self._stream(admission, body.model, chunks)
            generation = self._build_generation(account, service, body)
            if body.stream:
                chunks = self._generations.stream(generation)
                return await self._stream(admission, body.model, chunks)
            tokens = await self._generations.complete(generation)
        except BaseException:
            admission.release()
            raise
        admission.release()
        return _json(_complete_answer(body.model, tokens))

    async def call(self, service: str) -> Response:
        """Execute a call of a plain service."""
        key_text = request.headers.get(KEY_HEADER)
        try:
            return await self._call(service, key_text)
        except RequestRefusedError as error:
            is_not_run = error.outcome is Outcome.NOT_RUN
            if key_text is not None and is_not_run and not error.from_owner:
                # An earlier request with the same key may have run.
                error.outcome = _outcome_for_key(error.reason)
            raise

    async def mint_key(self, service: str) -> Response:
        """Return a new key for a non-repeatable call."""
        account = self._reader.authenticate()
        self._find_service(account, service, ServiceType.PLAIN)
        return _json({"key": self._calls.mint(service).text})

    async def _call(self, service_name: str, key_text: str | None) -> Response:
        account = self._reader.authenticate()
        body = await self._reader.read(CallRequest)
        service = self._find_service(account, service_name, ServiceType.PLAIN)
        self._check_kind(service, body.kind)
        non_repeatable = self._is_non_repeatable(account, service, body.kind)
        requested = RequestedCall(
            account=account.name,
            service=service_name,
            kind=body.kind,
            body=orjson.dumps(body.arguments),
            non_repeatable=non_repeatable,
            key=_parse_key(key_text) if non_repeatable else None,
        )
        admission = self._admit(account)
        try:
            result = await self._calls.call(requested)
        finally:
            admission.release()
        response = Response(
            result.answer.body,
            status=result.answer.status,
            content_type="application/json",
        )
        if result.key:
            response.headers[KEY_HEADER] = result.key
        return response

    async def _stream(
        self, admission: Admission, model: str, chunks: AsyncIterator[TokenChunk]
    ) -> Response:
        # Wait for the first tokens, so that a refusal can still set the HTTP status.
        try:
            first = await anext(chunks)
        except StopAsyncIteration:
            first = None
        events = self._events(admission, model, first, chunks)
        response = Response(events, content_type=EVENT_STREAM)
        response.timeout = None
        response.headers["Cache-Control"] = "no-store"
        return response

    async def _events(
        self,
        admission: Admission,
        model: str,
        first: TokenChunk | None,
        chunks: AsyncIterator[TokenChunk],
    ) -> AsyncIterator[bytes]:
        answer_id = f"chatcmpl-{uuid4().hex}"
        last_chunk_at = trio.current_time()
        try:
            async with aclosing(chunks):
                if first is not None:
                    yield _token_event(answer_id, model, first)
                async for chunk in chunks:
                    now = trio.current_time()
                    metrics.TOKEN_GAP_SECONDS.observe(now - last_chunk_at)
                    last_chunk_at = now
                    yield _token_event(answer_id, model, chunk)
            yield _event_data(_completion_chunk(answer_id, model, "", "stop"))
            yield b"data: [DONE]\n\n"
        except RequestRefusedError as error:
            count_refusal(error)
            yield b"event: error\n" + _event_data(problem_body(error))
        finally:
            admission.release()

    def _build_generation(
        self, account: EffectiveAccount, service: Service, body: ChatRequest
    ) -> RequestedGeneration:
        kind = body.metadata.kind
        limit = service.admission.default_max_tokens
        return RequestedGeneration(
            account=account.name,
            service=body.model,
            kind=kind,
            priority=account.priority(kind, datetime.now(UTC)),
            prompt=body.prompt,
            max_tokens=body.max_answer_tokens or limit,
            first_token_timeout_seconds=(body.deadline_ms or 0) / MILLISECONDS,
            shared_parts=body.shared_parts,
        )

    def _find_service(
        self, account: EffectiveAccount, name: str, service_type: ServiceType
    ) -> Service:
        if not self._view.complete_to:
            raise RequestRefusedError(
                RefusalReason.NOT_READY, "no configuration yet", retry_after=1.0
            )
        service = self._view.get(ObjectKind.SERVICE, name)
        if service is None or service.type is not service_type:
            raise RequestRefusedError(
                RefusalReason.UNKNOWN_SERVICE, f"no {service_type} service {name!r}"
            )
        if account.services and name not in account.services:
            raise RequestRefusedError(
                RefusalReason.FORBIDDEN, f"{account.name} may not use {name}"
            )
        return service

    @staticmethod
    def _check_kind(service: Service, kind: str) -> None:
        if kind != DEFAULT_KIND and kind not in service.kinds:
            known = ", ".join(service.kinds)
            raise RequestRefusedError(
                RefusalReason.UNKNOWN_KIND, f"kind is one of {known}"
            )

    @staticmethod
    def _is_non_repeatable(
        account: EffectiveAccount, service: Service, kind: str
    ) -> bool:
        kinds = (*service.non_repeatable_kinds, *account.non_repeatable_kinds)
        return kind in kinds

    @staticmethod
    def _event_id() -> EventId | None:
        text = request.headers.get(RESUME_HEADER)
        if text is None:
            return None
        try:
            return EventId.decode(text)
        except InvalidEventIdError as error:
            raise RequestRefusedError(
                RefusalReason.INVALID_EVENT_ID, error.message
            ) from error

    def _admit(self, account: EffectiveAccount) -> Admission:
        limits = AccountLimits(account.requests_per_second, account.concurrent_requests)
        refusal = self._limiter.admit(account.name, limits, trio.current_time())
        if refusal is not None:
            raise RequestRefusedError(
                refusal.reason,
                f"{account.name} is over its limit",
                retry_after=refusal.retry_after,
            )
        return Admission(self._limiter, account.name)


def count_refusal(error: RequestRefusedError) -> None:
    """Count a final refusal in the metrics."""
    metrics.REFUSALS.labels(reason=error.reason, outcome=error.outcome).inc()


def _outcome_for_key(reason: RefusalReason) -> Outcome:
    # No request with an invalid key can have run.
    if reason is RefusalReason.INVALID_IDEMPOTENCY_KEY:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def _parse_key(text: str | None) -> MintedKey | None:
    if text is None:
        return None
    try:
        return MintedKey.parse(text)
    except InvalidKeyError as error:
        raise RequestRefusedError(
            RefusalReason.INVALID_IDEMPOTENCY_KEY, error.message
        ) from error


def _json(data: object) -> Response:
    return Response(orjson.dumps(data), content_type="application/json")


def _event_data(data: object) -> bytes:
    return b"data: " + orjson.dumps(data) + b"\n\n"


def _token_event(answer_id: str, model: str, chunk: TokenChunk) -> bytes:
    event = _completion_chunk(answer_id, model, "".join(chunk.tokens), None)
    return f"id: {chunk.event_id}\n".encode() + _event_data(event)


def _completion_chunk(
    answer_id: str, model: str, text: str, finish_reason: str | None
) -> dict:
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}
    return {
        "id": answer_id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [choice],
    }


def _complete_answer(model: str, tokens: tuple[str, ...]) -> dict:
    message = {"role": "assistant", "content": "".join(tokens)}
    return {
        "id": f"chatcmpl-{uuid4().hex}",
        "object": "chat.completion",
        "created": int(time.time()),
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": {"completion_tokens": len(tokens)},
    }
