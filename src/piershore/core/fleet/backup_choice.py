"""Whether a generation's memory is copied to another endpoint as it grows."""

from __future__ import annotations

from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.routes.service_spec import EngineSpec

EVACUATION_SECONDS = 1.0
"""Copies from one endpoint that fit into a short notice."""
ROOM_SHARE = 0.7
"""A backup goes only where the projected demand leaves this part of the memory."""


def wants_backup(
    source_load: EndpointLoad, work: GenerationWork, engine: EngineSpec
) -> bool:
    """Tell whether a generation may not get away in a notice's time.

    `source_load` is that of its endpoint without it. Copies to another data hall
    are the slower ones, and are reckoned with.
    """
    if not engine.can_back_up or not work.is_long:
        return False
    tokens = source_load.held_tokens + work.held_tokens
    return engine.copy_seconds(tokens, within_hall=False) > EVACUATION_SECONDS


def has_room(load: EndpointLoad, work: GenerationWork, engine: EngineSpec) -> bool:
    """Tell whether an endpoint may hold the backup of a generation."""
    tokens = load.projected_tokens + work.held_tokens + work.remaining_tokens
    return tokens <= ROOM_SHARE * engine.memory_tokens
