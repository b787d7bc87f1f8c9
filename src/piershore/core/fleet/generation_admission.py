"""Whether the engines have memory for one more generation, or it is refused at once.

An engine whose memory runs out preempts generations that are under way, and one that
holds too much can't be emptied within the notice before it leaves: both lose long
streams that were nearly whole. A refused caller comes back when some have ended.
"""

from __future__ import annotations

from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.routes.service_spec import EngineSpec

HELD_SHARE = 0.9
"""Part of the memory that may be held now, the new prompt included: beyond it the
engine lets the prompt wait or preempts others."""
PROJECTED_SHARE = 1.25
"""Part of the memory that may be wanted at the expected ends; they don't come all at
the same time."""
TOKEN_SECONDS = 0.01
"""Time for a token in a batch of usual size."""
SOONEST_SECONDS, LATEST_SECONDS = 1.0, 5.0
"""Bounds of the time to come back: engines are replaced after some 4 s."""


def has_memory(load: EndpointLoad, work: GenerationWork, engine: EngineSpec) -> bool:
    """Tell whether the engine with this load takes one more generation."""
    if not work.is_long:
        return True
    held = load.held_tokens + work.held_tokens
    projected = load.projected_tokens + work.held_tokens + work.remaining_tokens
    return (
        held <= HELD_SHARE * engine.memory_tokens
        and projected <= PROJECTED_SHARE * engine.memory_tokens
    )


def come_back_seconds(load: EndpointLoad) -> float:
    """Return when some of an engine's generations have ended, as far as can be told."""
    remaining = load.projected_tokens - load.held_tokens
    seconds = TOKEN_SECONDS * remaining / max(1, load.requests)
    return min(LATEST_SECONDS, max(SOONEST_SECONDS, seconds))
