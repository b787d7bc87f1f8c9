"""Which requests a gateway that was told to stop still takes."""

from __future__ import annotations

from piershore.core.fleet.generation_work import GenerationSize

TOKEN_SECONDS = 0.012
"""Pace of one token on a crowded engine: 7 ms a step, and 0.12 ms a slot."""
FIRST_EVENT_SECONDS = 1.5
"""Time to the first event of a generation, the longest aim of the users' routes."""


def fits_before_stop(
    timeout: float, size: GenerationSize | None, seconds_left: float
) -> bool:
    """Tell whether a request is sure to end before the process must.

    `timeout` is its route's, in seconds; a generation may make all that it asks for.
    """
    if size is None:
        return timeout <= seconds_left
    most = FIRST_EVENT_SECONDS + size.max_output_tokens * TOKEN_SECONDS
    return min(most, timeout) <= seconds_left
