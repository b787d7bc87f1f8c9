"""Graceful shutdown: which requests a stopping gateway accepts, and when to retry."""

from __future__ import annotations

from collections.abc import Iterable

from piershore.core.fleet.generation_work import GenerationSize

TOKEN_SECONDS = 0.012
"""Time for one token on an overloaded engine: 7 ms a step, and 0.12 ms a slot."""
FIRST_EVENT_SECONDS = 1.5
"""Time to the first event of a generation: the longest target of the users' routes."""

RESTART_SECONDS = 1.2
"""From the end of a gateway's process until its next process serves; 1.1 to 1.2 s were
observed on boxes with 0.8 of a core."""
IMMEDIATE_RETRY_SECONDS = 0.02
"""When to retry after a refusal by a stopping gateway, if other gateways stay."""

ROUTING_LAG_SECONDS = 2.4
"""How long the platform still routes callers here after the stop: it checks once a
second and removes a box after two missed checks. A request that is refused in this time
may be routed to a stopping gateway again."""


def accepts_while_leaving(
    timeout: float,
    size: GenerationSize | None,
    seconds_leaving: float,
    seconds_left: float,
) -> bool:
    """Return whether a gateway that was told to stop accepts a request.

    While callers are still routed here, it accepts all. Later, it accepts only what is
    sure to end before the process must: within the route's `timeout`, in seconds, or
    within the time in which a generation makes its maximum number of tokens.
    """
    if seconds_leaving <= ROUTING_LAG_SECONDS:
        return True
    if size is None:
        return timeout <= seconds_left
    max_seconds = FIRST_EVENT_SECONDS + size.max_output_tokens * TOKEN_SECONDS
    return min(max_seconds, timeout) <= seconds_left


def retry_after_seconds(
    leaving_since: Iterable[float], grace: float, now: float, *, others_stay: bool
) -> float:
    """Return the seconds after which a refused caller finds a gateway that stays.

    `leaving_since` are the times at which stopping gateways were told to stop, `grace`
    is the time within which they end. While all of them stop, a caller that retried
    immediately would be refused again, and most callers try only twice.
    """
    if others_stay:
        return IMMEDIATE_RETRY_SECONDS
    first_restarted_at = min(leaving_since, default=now) + grace + RESTART_SECONDS
    return max(IMMEDIATE_RETRY_SECONDS, first_restarted_at - now)
