"""Whether a generation leaves an engine's prompt reading to more urgent ones.

The load pattern: engines read prompts one after the other, between the tokens of
running generations. In a shortage several prompts wait at each engine, and those of
generations whose first part is due in some seconds delay others that are due sooner. Of
302 short generations that found 6,000 tokens or more of prompts at their engine, 125
had their first part late, while long ones, due much later, hardly ever had.
"""

from __future__ import annotations

from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.generation_work import GenerationWork

URGENT_TARGET_SHARE = 0.5
"""A generation defers to others only if a route of the service has at most this share
of its target latency: with similar targets, waiting would make it late itself."""
MAX_FIRST_PART_SHARE = 0.5
"""Share of the target latency within which the first part must still be expected; the
rest absorbs prompts that arrive at the engine later."""
PROMPT_TOKENS_PER_SECOND = 7_500.0
"""Prompt tokens that an engine reads beside a batch of running generations."""


def defers_prompt(
    load: EndpointLoad,
    work: GenerationWork,
    waited: float,
    target_latency: float,
    shortest_target: float,
) -> bool:
    """Return whether a long generation should wait until fewer prompts are pending.

    `waited` are the seconds since its arrival, `shortest_target` the shortest target
    latency of the service's routes. One prompt at the engine besides its own is few.
    """
    if not work.is_long or shortest_target > URGENT_TARGET_SHARE * target_latency:
        return False
    if load.pending_prompt_tokens < work.size.prompt_tokens:
        return False
    tokens = load.pending_prompt_tokens + work.size.prompt_tokens
    expected = waited + tokens / PROMPT_TOKENS_PER_SECOND
    return expected < MAX_FIRST_PART_SHARE * target_latency
