"""Every reason for which a request is refused or ended early."""

from __future__ import annotations

from enum import StrEnum


class RefusalReason(StrEnum):
    """Codes of refusals; also the label values of the refusal counters."""

    MALFORMED_BODY = "malformed_body"
    BODY_TOO_LARGE = "body_too_large"
    HEADER_TOO_LARGE = "header_too_large"
    FIELD_TOO_LARGE = "field_too_large"
    WRONG_CONTENT_TYPE = "wrong_content_type"
    INVALID_FIELD = "invalid_field"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_KIND = "unknown_kind"
    INVALID_IDEMPOTENCY_KEY = "invalid_idempotency_key"
    KEYS_NOT_SUPPORTED = "keys_not_supported"
    INVALID_EVENT_ID = "invalid_event_id"
    NOT_READY = "not_ready"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    TOO_LONG_FOR_ENGINE = "too_long_for_engine"
    LEAVING = "leaving"
    NO_ENDPOINT = "no_endpoint"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    NO_OWNER = "no_owner"
    MINT_TIME_TOO_OLD = "mint_time_too_old"
    ALREADY_RUN = "already_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ENDPOINT_UNREACHABLE = "endpoint_unreachable"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_RESTING = "endpoint_resting"
    ENDPOINT_LIMITED = "endpoint_limited"
    ENGINE_LOST = "engine_lost"
    QUARANTINED = "quarantined"
    AGENT_LOST = "agent_lost"
    GENERATION_UNKNOWN = "generation_unknown"
    RESUME_WINDOW_PASSED = "resume_window_passed"
    SUPERSEDED_READER = "superseded_reader"
    CANCELLED = "cancelled"
    PRECONDITION_REQUIRED = "precondition_required"
    VERSION_CONFLICT = "version_conflict"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    INTERNAL_ERROR = "internal_error"


RETRYABLE_REASONS = frozenset(
    {
        RefusalReason.NOT_READY,
        RefusalReason.QUEUE_FULL,
        RefusalReason.DEADLINE_UNREACHABLE,
        RefusalReason.LEAVING,
        RefusalReason.NO_OWNER,
        RefusalReason.ENDPOINT_UNREACHABLE,
        RefusalReason.ENDPOINT_RESTING,
        RefusalReason.ENDPOINT_LIMITED,
        RefusalReason.ENGINE_LOST,
        RefusalReason.AGENT_LOST,
    }
)
"""Reasons after which a gateway may try another endpoint if nothing was executed."""
