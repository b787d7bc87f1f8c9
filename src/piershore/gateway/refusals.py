"""Conversion of an agent's refusals to errors for callers."""

from __future__ import annotations

import trio

from piershore.core.outcome import Outcome
from piershore.core.refusal_reason import RefusalReason
from piershore.gateway.agent_link import AgentLink
from piershore.gateway.exceptions import RequestRefusedError
from piershore.wire.link_pb2 import Refused

BACKOFF_REASONS = (RefusalReason.ENDPOINT_RESTING, RefusalReason.ENDPOINT_LIMITED)
DEFAULT_RETRY_AFTER_SECONDS = 1.0
"""Time after which callers may retry if the agent names none."""


def read_refusal(
    link: AgentLink, frame: Refused, *, from_owner: bool = False
) -> RequestRefusedError:
    """Return the error for the caller, and record a backoff that the agent requests."""
    reason = RefusalReason(frame.reason)
    retry_after = frame.retry_after_seconds or DEFAULT_RETRY_AFTER_SECONDS
    if reason in BACKOFF_REASONS:
        # An endpoint that refuses looks idle. Without the backoff, all further requests
        # would be sent there and refused.
        link.state.rest.extend(retry_after, trio.current_time())
    return RequestRefusedError(
        reason,
        f"{link.state.name} refused: {frame.reason}",
        Outcome(frame.outcome),
        retry_after=retry_after,
        from_owner=from_owner,
    )
