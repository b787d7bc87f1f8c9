"""Where the generations of an endpoint that leaves go, and in which order.

All gateways with work there make the same plan from the same notes, so that they
neither choose one target all together nor fill the source's link at random.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_load import EndpointLoad, NO_LOAD
from piershore.core.hashing import stable_hash
from piershore.core.routes.service_spec import EngineSpec

FULL_SHARE = 0.9
"""Part of a target's memory that plans fill: projections are often too low."""
ROUNDING_TOKENS = 1_000
"""Loads are compared in such steps, since gateways' views differ a little."""


@dataclass(frozen=True)
class StreamNote:
    """A generation at an endpoint that leaves, as its gateway tells of it."""

    request: str
    held_tokens: int
    has_begun: bool
    is_copied: bool = False


@dataclass(frozen=True)
class PlannedMove:
    """A generation's target; `start` is when its copy begins, in seconds."""

    request: str
    target: Endpoint
    start: float


def plan_evacuation(
    source: Endpoint,
    notes: Iterable[StreamNote],
    targets: Sequence[Endpoint],
    loads: Mapping[str, EndpointLoad],
    engine: EngineSpec,
) -> tuple[PlannedMove, ...]:
    """Return the moves in the order of their copies on the source's link.

    The smallest go first, so that the most get away. A target in the source's
    data hall is taken while it has room: a copy to another takes twice as long.
    """
    added = dict.fromkeys((target.identity for target in targets), 0)
    moves = []
    start = 0.0
    for note in sorted(notes, key=lambda n: (n.held_tokens, n.request)):
        target = _choose(source, note, targets, loads, added, engine)
        if target is None:
            break
        moves.append(PlannedMove(note.request, target, start))
        added[target.identity] += note.held_tokens
        within_hall = target.data_hall == source.data_hall
        start += engine.copy_seconds(note.held_tokens, within_hall=within_hall)
    return tuple(moves)


def _choose(
    source: Endpoint,
    note: StreamNote,
    targets: Sequence[Endpoint],
    loads: Mapping[str, EndpointLoad],
    added: Mapping[str, int],
    engine: EngineSpec,
) -> Endpoint | None:
    def rank(target: Endpoint) -> tuple:
        load = loads.get(target.identity, NO_LOAD)
        tokens = load.projected_tokens + added[target.identity] + note.held_tokens
        is_full = tokens > FULL_SHARE * engine.memory_tokens
        is_remote = target.data_hall != source.data_hall
        tie = stable_hash(source.identity, target.identity)
        return is_full, is_remote, tokens // ROUNDING_TOKENS, tie

    return min(targets, key=rank, default=None)
