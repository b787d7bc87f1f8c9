"""Which requests a gateway that was told to stop still takes."""

from __future__ import annotations

from collections.abc import Iterable

from piershore.core.fleet.generation_work import GenerationSize

TOKEN_SECONDS = 0.012
"""Pace of one token on a crowded engine: 7 ms a step, and 0.12 ms a slot."""
FIRST_EVENT_SECONDS = 1.5
"""Time to the first event of a generation, the longest aim of the users' routes."""

START_SECONDS = 1.2
"""From the end of a gateway's process to its next one that serves; 1.1 to 1.2 s seen on
boxes with 0.8 of a core."""
AT_ONCE_SECONDS = 0.02
"""When to come back after a refusal by a gateway that stops, if others stay."""

STILL_SENT_SECONDS = 2.4
"""Callers are still sent here so long after the stop was told: the platform looks
once a second and takes a box out after two misses. What is refused then may well come
back to a gateway that stops as well."""


def takes_while_leaving(
    timeout: float,
    size: GenerationSize | None,
    seconds_leaving: float,
    seconds_left: float,
) -> bool:
    """Tell whether a gateway that was told to stop takes a request.

    Later on, only what is sure to end before the process must: `timeout` is its
    route's, in seconds; a generation may make all that it asks for.
    """
    if seconds_leaving <= STILL_SENT_SECONDS:
        return True
    if size is None:
        return timeout <= seconds_left
    most = FIRST_EVENT_SECONDS + size.max_output_tokens * TOKEN_SECONDS
    return min(most, timeout) <= seconds_left


def come_back_seconds(
    leaving_since: Iterable[float], grace: float, now: float, *, others_stay: bool
) -> float:
    """Return when a caller that was refused finds a gateway that stays.

    `leaving_since` are the times at which gateways that stop were told to, `grace` is
    the time in which they end. With all of them stopping, a caller that came back at
    once would be refused again, and most ask only twice.
    """
    if others_stay:
        return AT_ONCE_SECONDS
    first_back = min(leaving_since, default=now) + grace + START_SECONDS
    return max(AT_ONCE_SECONDS, first_back - now)
