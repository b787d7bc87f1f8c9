"""Whether a generation's memory is copied to another endpoint as it grows.

A backup saves what a short notice can't, and what an endpoint that crashes would lose.
But it holds the generation's memory twice: where memory is short, others are preempted
for it. So what a notice saves gets a backup only where there is plenty of room. With 22
engines for 21,982 tokens each and 29 generations a second, 17 % of the engines leaving
each 3.3 s, a backup for all that is not copied to another data hall in time cost 0.025
of a day's worth (five simulated days, one run each).
"""

from __future__ import annotations

from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.routes.service_spec import EngineSpec

EVACUATION_SECONDS = 1.0
"""Copies from one endpoint that fit into a short notice."""
ROOM_SHARE = 0.7
"""A backup that a notice makes necessary goes only where the projected demand leaves
this part of the memory."""
PLENTY_SHARE = 0.4
"""The same for one that only a crash would need."""


def backup_room(
    source_load: EndpointLoad, work: GenerationWork, engine: EngineSpec
) -> float | None:
    """Return the part of a target's memory that a backup may leave taken.

    None if there is to be no backup. `source_load` is that of the generation's endpoint
    without it. When time is short, streams are moved within the data hall.
    """
    if not engine.can_back_up or not work.is_long:
        return None
    tokens = source_load.held_tokens + work.held_tokens
    if engine.copy_seconds(tokens, within_hall=True) > EVACUATION_SECONDS:
        return ROOM_SHARE
    if engine.copy_seconds(tokens, within_hall=False) > EVACUATION_SECONDS:
        return PLENTY_SHARE
    return None


def has_room(
    load: EndpointLoad, work: GenerationWork, engine: EngineSpec, share: float
) -> bool:
    """Tell whether an endpoint may hold the backup of a generation."""
    tokens = load.projected_tokens + work.held_tokens + work.remaining_tokens
    return tokens <= share * engine.memory_tokens
