"""Admission of generations: whether an engine has memory for one more.

An engine that runs out of memory preempts running generations, and one that holds too
much can't be evacuated within the notice before it leaves: both lose long streams that
were almost complete. A refused caller retries when some generations have ended.
"""

from __future__ import annotations

from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.routes.service_spec import EngineSpec

MAX_HELD_SHARE = 0.9
"""Share of the memory that may be in use now, including the new prompt: beyond it the
engine queues the prompt or preempts other generations."""
MAX_PROJECTED_SHARE = 1.25
"""Share of the memory that may be projected at the expected ends: it is above 1 since
generations don't all end at the same time."""
TOKEN_SECONDS = 0.01
"""Time per token in a batch of typical size."""
MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS = 1.0, 5.0
"""Bounds of the time until a retry: engines are replaced after about 4 s."""


def has_memory(
    load: EndpointLoad,
    work: GenerationWork,
    engine: EngineSpec,
    reserved_tokens: int = 0,
) -> bool:
    """Return whether an engine with this load has memory for one more generation.

    A long generation leaves `reserved_tokens` free, unless the engine is empty.
    """
    if not work.is_long:
        return True
    held = load.held_tokens + work.held_tokens
    projected = load.projected_tokens + work.held_tokens + work.remaining_tokens
    reserved = reserved_tokens if load.held_tokens > 0 else 0
    return (
        held <= MAX_HELD_SHARE * engine.memory_tokens - reserved
        and projected <= MAX_PROJECTED_SHARE * engine.memory_tokens
    )


def retry_after_seconds(load: EndpointLoad) -> float:
    """Return the estimated seconds until some of an engine's generations have ended."""
    remaining = load.projected_tokens - load.held_tokens
    seconds = TOKEN_SECONDS * remaining / max(1, load.requests)
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
