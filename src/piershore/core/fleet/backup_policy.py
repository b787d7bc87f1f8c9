"""Whether a generation's memory is backed up to another endpoint as it grows.

A backup saves generations that can't be moved within a short notice, and those on an
endpoint that crashes. But it holds the generation's memory twice: where memory is
short, other generations are preempted for it. So a generation that can be moved within
a notice gets a backup only where much memory is free. With 22 engines for 21,982 tokens
each, 29 generations per second and 17 % of the engines leaving every 3.3 s, backing up
every generation that can't be copied to another data hall in time cost 0.025 of a day's
value (five simulated days).
"""

from __future__ import annotations

from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.routes.service_spec import EngineSpec

MAX_EVACUATION_SECONDS = 1.0
"""Time for copies from one endpoint that fits into a short notice."""
MAX_SHARE_FOR_NOTICE = 0.7
"""Share of a target's memory that may be projected, with the backup, if the generation
could not be moved within a notice."""
MAX_SHARE_FOR_CRASH = 0.4
"""The same for a backup that is only needed after a crash."""


def backup_memory_limit(
    source_load: EndpointLoad, work: GenerationWork, engine: EngineSpec
) -> float | None:
    """Return the share of a target's memory that may be projected with the backup.

    None means no backup. `source_load` is the load of the generation's endpoint without
    the generation itself. When a notice is short, streams are moved within the data
    hall.
    """
    if not engine.can_back_up or not work.is_long:
        return None
    tokens = source_load.held_tokens + work.held_tokens
    if engine.copy_seconds(tokens, within_data_hall=True) > MAX_EVACUATION_SECONDS:
        return MAX_SHARE_FOR_NOTICE
    if engine.copy_seconds(tokens, within_data_hall=False) > MAX_EVACUATION_SECONDS:
        return MAX_SHARE_FOR_CRASH
    return None


def fits_backup(
    load: EndpointLoad, work: GenerationWork, engine: EngineSpec, share: float
) -> bool:
    """Return whether an endpoint has memory for the backup of a generation."""
    tokens = load.projected_tokens + work.held_tokens + work.remaining_tokens
    return tokens <= share * engine.memory_tokens
