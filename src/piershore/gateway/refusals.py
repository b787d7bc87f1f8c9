"""What an agent's refusal of a request means to its gateway."""

from __future__ import annotations

import trio

from piershore.core.outcome import Outcome
from piershore.core.refusal_reason import RefusalReason
from piershore.gateway.agent_link import AgentLink
from piershore.gateway.exceptions import RequestRefusedError
from piershore.wire.link_pb2 import Refused

NOT_TAKING = (RefusalReason.ENDPOINT_RESTING, RefusalReason.ENDPOINT_LIMITED)
RETRY_AFTER_SECONDS = 1.0
"""When to come back if the agent doesn't tell."""


def read_refusal(
    link: AgentLink, frame: Refused, *, from_owner: bool = False
) -> RequestRefusedError:
    """Return what the caller is told, and note what concerns the endpoint itself."""
    reason = RefusalReason(frame.reason)
    retry_after = frame.retry_after_seconds or RETRY_AFTER_SECONDS
    if reason in NOT_TAKING:
        # It seems idle, so that all that follows would be sent there and refused.
        link.state.rest.extend(retry_after, trio.current_time())
    return RequestRefusedError(
        reason,
        f"{link.state.name} refused: {frame.reason}",
        Outcome(frame.outcome),
        retry_after=retry_after,
        from_owner=from_owner,
    )
