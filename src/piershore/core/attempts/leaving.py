"""Graceful shutdown: when callers that a stopping gateway refuses may retry."""

from __future__ import annotations

from collections.abc import Iterable

RESTART_SECONDS = 1.2
"""From the end of a gateway's process until its next process serves; 1.1 to 1.2 s were
observed on boxes with 0.8 of a core."""
IMMEDIATE_RETRY_SECONDS = 0.02
"""When to retry after a refusal by a stopping gateway, if other gateways stay."""

ROUTING_LAG_SECONDS = 2.4
"""How long the platform still routes callers here after the stop: it checks once a
second and removes a box after two missed checks. A request that is refused in this time
may be routed to a stopping gateway again."""


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
