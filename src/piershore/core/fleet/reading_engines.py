"""Which engines read prompts, and where long generations go on undisturbed.

While an engine reads a prompt, each generation beside it gets its tokens at half the
pace. So the engines with the fewest long generations read prompts, and a generation
that begins there goes on at another one.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import ceil

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_load import EndpointLoad, NO_LOAD
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.hashing import stable_hash
from piershore.core.routes.service_spec import EngineSpec

LOOK_WEIGHT = 0.02
"""Weight of a new look beside all earlier ones: with ten looks a second, the last five
seconds count."""
RESERVE = 1.3
"""Engines that read prompts for each one that is busy with it in the mean: prompts
come in clusters, and the first token has an aim."""
MOST_SHARE = 0.5
"""Part of the engines that may be kept for reading."""
FULL_SHARE = 0.7
"""Part of a target's memory that may be wanted at the expected ends; the rest is for
generations that come from engines that leave."""
REMOTE_STREAMS = 1
"""By how many long generations a target in another data hall must be emptier: the copy
takes twice as long."""


class ReadingDemand:
    """How many engines of a service read prompts at a time, in the mean."""

    def __init__(self) -> None:
        self._busy: float | None = None

    @property
    def engines(self) -> int:
        """The engines that are wanted for reading, one at least."""
        return max(1, ceil(RESERVE * (self._busy or 0.0)))

    def look(self, loads: Mapping[str, EndpointLoad]) -> None:
        """Count the engines that have a prompt to read now."""
        busy = sum(load.unread_tokens > 0 for load in loads.values())
        if self._busy is None:
            self._busy = float(busy)
        self._busy += LOOK_WEIGHT * (busy - self._busy)


def reading_engines(loads: Mapping[str, EndpointLoad], wanted: int) -> frozenset[str]:
    """Return the engines with the fewest long generations."""
    count = min(wanted, int(MOST_SHARE * len(loads)))

    def rank(identity: str) -> tuple:
        return loads[identity].long_streams, stable_hash(identity)

    return frozenset(sorted(loads, key=rank)[:count])


def settling_target(
    source: Endpoint,
    work: GenerationWork,
    endpoints: Sequence[Endpoint],
    loads: Mapping[str, EndpointLoad],
    readers: frozenset[str],
    engine: EngineSpec,
) -> Endpoint | None:
    """Return where a generation at a reading engine goes on; None if it stays."""

    def has_room(endpoint: Endpoint) -> bool:
        load = loads.get(endpoint.identity, NO_LOAD)
        wanted = load.projected_tokens + work.held_tokens + work.remaining_tokens
        return wanted <= FULL_SHARE * engine.memory_tokens

    def rank(endpoint: Endpoint) -> tuple:
        load = loads.get(endpoint.identity, NO_LOAD)
        is_remote = endpoint.data_hall != source.data_hall
        streams = load.long_streams + REMOTE_STREAMS * is_remote
        return streams, load.projected_tokens

    others = (e for e in endpoints if e.identity not in readers)
    return min(filter(has_room, others), key=rank, default=None)
