"""Which requests a gateway that was told to stop still takes."""

from __future__ import annotations

from piershore.core.fleet.generation_work import GenerationSize

TOKEN_SECONDS = 0.012
"""Pace of one token on a crowded engine: 7 ms a step, and 0.12 ms a slot."""
FIRST_EVENT_SECONDS = 1.5
"""Time to the first event of a generation, the longest aim of the users' routes."""


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
