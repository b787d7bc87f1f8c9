"""Headers by which callers and endpoints of the platform exchange metadata."""

from __future__ import annotations

import re
from http import HTTPStatus

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_notice import EndpointNotice, NO_NOTICE
from piershore.core.fleet.endpoint_rate_limits import UNLIMITED
from piershore.core.fleet.generation_work import GenerationSize
from piershore.core.numbers import checked_integer
from piershore.http1.exceptions import BadRequestError
from piershore.http1.message import (
    end_to_end_headers,
    Headers,
    RequestHead,
    ResponseHead,
)
from piershore.http1.rate_limit import lowest_rate
from piershore.http1.retry_after import longest_backoff
from piershore.ingress.ports import (
    CallerRequest,
    EndpointAnswer,
    ForwardingOptions,
    RequestDialect,
)

REQUEST_ID = b"attempt-id"
TIME_LEFT = b"deadline-ms"
AUTHORIZATION = b"authorization"
KEY_SCHEME = "token"
ACCOUNT = b"tenant"
EXPECTED_ENDPOINT = b"expected-instance"
NOT_RUN = b"not-executed"
# The endpoint's signature of its answer; only valid answers have it.
SIGNATURE = b"response-seal"
MODEL = b"model"
# Tokens of the prompt, and the maximum number of generated tokens.
TOKEN_COUNTS = b"token-usage"
PROMPT_PREFIX = b"prompt-prefix"
LENGTH_HINT = b"length-hint"
LAST_EVENT_ID = b"last-event-id"
PRIORITY = b"priority"
CONTINUE_FROM = b"kv-from"
BACK_UP_AT = b"kv-backup"
RETRY_AFTER = b"retry-after"
LEAVING = b"server-leaving"
RATE_LIMIT = b"server-limit"
FALSE_VALUES = frozenset({b"", b"0", b"false"})
"""Values of a header that stand for false."""

SYSTEM_HEADERS = frozenset(
    {
        ACCOUNT,
        EXPECTED_ENDPOINT,
        PRIORITY,
        CONTINUE_FROM,
        BACK_UP_AT,
        AUTHORIZATION,
        TIME_LEFT,
        b"kv-fetch",
        b"hold",
        b"pin-ms",
        b"expect-version",
        b"expect",
        b"content-length",
    }
)
"""Headers that are not forwarded from callers; the gateway sets some of them."""

PROTECTED_HEADERS = frozenset(
    {REQUEST_ID, MODEL, TOKEN_COUNTS, PROMPT_PREFIX, b"host", b"content-type"}
)
"""Headers that are forwarded even if a caller lists them in `Connection`."""

MISDIRECTED = 421
PART_ID = re.compile(rb"[0-9A-Fa-f]{1,64}")
MAX_DEADLINE_MILLISECONDS = 10**9
MAX_TOKENS = 10**9
"""Far more than any engine's memory; the sums of all gateways' work stay below the
bound of numbers in reports."""


class PlatformDialect(RequestDialect):
    """Encodes and decodes the platform's headers."""

    def read_request(self, head: RequestHead) -> CallerRequest:
        """Decode a caller's request; raise `BadRequestError` if it is malformed."""
        return CallerRequest(
            head=head,
            identity=(head.header(REQUEST_ID) or b"").decode("latin-1"),
            time_left=_time_left(head.header(TIME_LEFT)),
            key=_key(head.header(AUTHORIZATION)),
            size=_size(head),
            model=(head.header(MODEL) or b"").decode("latin-1").strip(),
            shared_parts=_part_ids(head)[:-1],
        )

    def build_forwarded_head(
        self,
        request: CallerRequest,
        body_length: int,
        endpoint: Endpoint,
        options: ForwardingOptions,
    ) -> RequestHead:
        """Return the head of the request to the endpoint."""
        headers = [
            (name, value)
            for name, value in end_to_end_headers(
                request.head.headers, PROTECTED_HEADERS
            )
            if name not in SYSTEM_HEADERS
            and not (options.last_event_id is not None and name == LAST_EVENT_ID)
        ]
        if body_length or request.head.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", _encode(body_length)))
        milliseconds = max(1, int(options.time_left * 1_000))
        headers.append((TIME_LEFT, _encode(milliseconds)))
        headers.append((EXPECTED_ENDPOINT, _encode(endpoint.name)))
        if options.account is not None:
            headers.append((ACCOUNT, _encode(options.account.name)))
        if options.priority is not None:
            headers.append((PRIORITY, _encode(options.priority)))
        if options.continue_from is not None:
            copy = options.continue_from
            headers.append((CONTINUE_FROM, _encode(f"{copy.holder}/{copy.name}")))
        if options.last_event_id is not None:
            headers.append((LAST_EVENT_ID, _encode(options.last_event_id)))
        if options.back_up_at is not None:
            headers.append((BACK_UP_AT, _encode(options.back_up_at)))
        return RequestHead(request.head.method, request.head.target, tuple(headers))

    def is_answer_to(self, request: CallerRequest, head: ResponseHead) -> bool:
        """Return whether the answer has the id of this request."""
        value = head.header(REQUEST_ID)
        return value is not None and value.decode("latin-1") == request.identity

    def read_answer(self, head: ResponseHead) -> EndpointAnswer:
        """Decode the head of an endpoint's answer."""
        is_signed = head.header(SIGNATURE) is not None
        is_success = 200 <= head.status < 300
        is_plain = head.header(b"content-encoding") is None
        return EndpointAnswer(
            status=head.status,
            was_not_run=head.header(NOT_RUN) is not None or head.status == MISDIRECTED,
            is_wrong_instance=head.status == MISDIRECTED,
            is_valid=is_plain and (is_signed or not is_success),
        )

    def read_notice(self, head: ResponseHead) -> EndpointNotice:
        """Decode the notice of an endpoint that accompanies its answer."""
        if head.status == MISDIRECTED:
            # Another endpoint has this address now: the notice would be about it.
            return NO_NOTICE
        leaving = head.header(LEAVING)
        is_leaving = leaving is not None and leaving.strip().lower() not in FALSE_VALUES
        backoff = None
        if head.status == HTTPStatus.SERVICE_UNAVAILABLE:
            backoff = longest_backoff(
                v.decode("latin-1") for v in head.values(RETRY_AFTER)
            )
        limits = [v.decode("latin-1") for v in head.values(RATE_LIMIT)]
        rate = lowest_rate(limits)
        unreadable = ", ".join(limits) if rate is None else ""
        if not limits and head.header(REQUEST_ID):
            rate = UNLIMITED
        return EndpointNotice(is_leaving, backoff, rate, unreadable)

    def forwarded_answer_headers(self, head: ResponseHead) -> Headers:
        """Return those of the endpoint's headers that are forwarded to the caller."""
        kept = end_to_end_headers(head.headers, frozenset())
        return tuple(item for item in kept if item[0] != b"content-length")

    def gateway_answer_headers(
        self, request: CallerRequest | None, retry_after: float | None
    ) -> Headers:
        """Return the headers of an answer that the gateway generates itself."""
        headers = [(b"content-type", b"application/json")]
        if request is not None and request.identity:
            headers.append((REQUEST_ID, request.identity.encode("latin-1")))
        if retry_after is not None:
            headers.append((RETRY_AFTER, _encode(f"{retry_after:.3f}")))
        return tuple(headers)


def _encode(value: object) -> bytes:
    return str(value).encode("latin-1")


def _time_left(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return _count(value, MAX_DEADLINE_MILLISECONDS) / 1_000
    except ValueError as error:
        raise BadRequestError(
            HTTPStatus.BAD_REQUEST, "invalid_deadline", "the deadline is no number"
        ) from error


def _key(value: bytes | None) -> str | None:
    if value is None:
        return None
    scheme, _, key = value.decode("latin-1").strip().partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME else None


def _size(head: RequestHead) -> GenerationSize | None:
    counts = head.header(TOKEN_COUNTS)
    if counts is None:
        return None
    try:
        prompt, max_tokens = (_count(w, MAX_TOKENS) for w in counts.split(b","))
        hint = head.header(LENGTH_HINT)
        hinted = None if hint is None else _hinted_tokens(hint)
    except ValueError as error:
        raise BadRequestError(
            HTTPStatus.BAD_REQUEST, "invalid_token_counts", "token counts are faulty"
        ) from error
    return GenerationSize(prompt, max_tokens, hinted)


def _count(text: bytes, maximum: int) -> int:
    """Parse a count of at most `maximum`; raise ValueError."""
    digits = text.strip()
    if not digits.isdigit():
        raise ValueError("not a decimal number")
    return checked_integer(int(digits), maximum)


def _part_ids(head: RequestHead) -> tuple[str, ...]:
    """Return the ids of a prompt's parts in their order; equal ids are equal texts."""
    text = b",".join(head.values(PROMPT_PREFIX)).strip()
    if not text:
        return ()
    try:
        return tuple(map(_part_id, text.split(b",")))
    except ValueError as error:
        raise BadRequestError(
            HTTPStatus.BAD_REQUEST, "invalid_prompt_parts", f"prompt parts: {error}"
        ) from error


def _part_id(part: bytes) -> str:
    """Return the id in `ID:TOKENS`, an ID in hex; raise ValueError if it isn't one."""
    digits, _, tokens = part.strip().partition(b":")
    if not PART_ID.fullmatch(digits):
        raise ValueError("an id is not a hexadecimal number")
    _count(tokens, MAX_TOKENS)
    return digits.decode("ascii").lower().lstrip("0") or "0"


def _hinted_tokens(text: bytes) -> int:
    """Return a hint within the range of counts; raise ValueError if it isn't one."""
    return int(min(max(0.0, float(text)), MAX_TOKENS))
