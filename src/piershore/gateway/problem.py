"""HTTP error responses with problem details (RFC 9457)."""

from __future__ import annotations

from math import ceil

import orjson
from quart import Response

from piershore.core.refusal_reason import RefusalReason
from piershore.gateway.exceptions import RequestRefusedError

CONTENT_TYPE = "application/problem+json"
DEFAULT_STATUS = 503

STATUSES = {
    RefusalReason.MALFORMED_BODY: 400,
    RefusalReason.INVALID_FIELD: 422,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.HEADER_TOO_LARGE: 431,
    RefusalReason.FIELD_TOO_LARGE: 422,
    RefusalReason.WRONG_CONTENT_TYPE: 415,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.FORBIDDEN: 403,
    RefusalReason.NOT_FOUND: 404,
    RefusalReason.METHOD_NOT_ALLOWED: 405,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.UNKNOWN_KIND: 422,
    RefusalReason.INVALID_IDEMPOTENCY_KEY: 400,
    RefusalReason.KEYS_NOT_SUPPORTED: 422,
    RefusalReason.INVALID_EVENT_ID: 400,
    RefusalReason.RATE_LIMITED: 429,
    RefusalReason.CONCURRENCY_LIMITED: 429,
    RefusalReason.QUARANTINED: 429,
    RefusalReason.TOO_LONG_FOR_ENGINE: 422,
    RefusalReason.MINT_TIME_TOO_OLD: 409,
    RefusalReason.ALREADY_RUN: 409,
    RefusalReason.OUTCOME_UNKNOWN: 502,
    RefusalReason.ENDPOINT_FAILED: 502,
    RefusalReason.ENGINE_LOST: 502,
    RefusalReason.AGENT_LOST: 502,
    RefusalReason.GENERATION_UNKNOWN: 410,
    RefusalReason.RESUME_WINDOW_PASSED: 410,
    RefusalReason.SUPERSEDED_READER: 409,
    RefusalReason.DEADLINE_PASSED: 504,
    RefusalReason.PRECONDITION_REQUIRED: 428,
    RefusalReason.VERSION_CONFLICT: 412,
    RefusalReason.INTERNAL_ERROR: 500,
}
"""HTTP status by reason. The other reasons have status 503: a retry may succeed."""


def problem_body(error: RequestRefusedError) -> dict[str, object]:
    """Return the problem details of a refused request."""
    body: dict[str, object] = {
        "type": f"urn:piershore:{error.reason}",
        "title": error.reason.replace("_", " "),
        "status": STATUSES.get(error.reason, DEFAULT_STATUS),
        "detail": error.message,
        "code": error.reason,
        "outcome": error.outcome,
    }
    if error.findings:
        body["findings"] = list(error.findings)
    if error.retry_after is not None:
        body["retry_after"] = max(1, ceil(error.retry_after))
    return body


def problem_response(error: RequestRefusedError) -> Response:
    """Return the HTTP response for a refused request."""
    body = problem_body(error)
    response = Response(
        orjson.dumps(body), status=body["status"], content_type=CONTENT_TYPE
    )
    if "retry_after" in body:
        response.headers["Retry-After"] = str(body["retry_after"])
    if error.reason is RefusalReason.UNAUTHENTICATED:
        response.headers["WWW-Authenticate"] = "Bearer"
    return response
