"""Plans where the generations of a leaving endpoint move, and in which order.

All gateways with work there compute the same plan from the same reports, so that they
neither overload a single target nor compete for the source's link.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from heapq import nsmallest

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_load import EndpointLoad, NO_LOAD
from piershore.core.hashing import stable_hash
from piershore.core.routes.service_spec import EngineSpec

MAX_MEMORY_SHARE = 0.9
"""Share of a target's memory that plans may fill: projections are often too low."""
COPY_BUDGET_SECONDS = 1.15
"""Time for the first copies of all streams: the shortest notice observed is 1.5 s, and
stopping a stream and continuing it elsewhere takes 0.1 to 0.2 s."""
REMOTE_PENALTY_TOKENS = (0, 4_000, 8_000, 16_000, 64_000)
"""How many tokens emptier a target in another data hall must be to be preferred.
The values are tried in turn: the first spreads the load evenly, the last keeps copies
shortest."""
MAX_TARGETS = 48
"""Targets that a plan considers; a source has some 10 streams. In a large fleet they
are picked by a hash, so that all gateways consider the same ones."""
LOAD_STEP_TOKENS = 1_000
"""Loads are compared in steps of this size, since gateways' views differ slightly."""


@dataclass(frozen=True)
class StreamReport:
    """A generation at a leaving endpoint, as its gateway reports it."""

    request: str
    held_tokens: int
    has_begun: bool
    has_backup: bool = False


class MoveMethod(StrEnum):
    """How a generation moves to another endpoint."""

    COPY = "copy"
    BACKUP = "backup"


@dataclass(frozen=True)
class PlannedMove:
    """A generation's target; `start` is when its copy begins, in seconds.

    A generation whose copy doesn't fit into the time continues at its backup, if it has
    one. Stopping its run copies its memory as well, so it waits for the copies of the
    others.
    """

    request: str
    target: Endpoint
    start: float
    method: MoveMethod = MoveMethod.COPY


def choose_targets(source: Endpoint, others: Iterable[Endpoint]) -> list[Endpoint]:
    """Return the endpoints where generations of `source` may continue."""
    targets = [target for target in others if target.identity != source.identity]
    if len(targets) <= MAX_TARGETS:
        return targets
    return nsmallest(MAX_TARGETS, targets, key=partial(_tie_breaker, source))


def plan_evacuation(
    source: Endpoint,
    reports: Iterable[StreamReport],
    targets: Sequence[Endpoint],
    loads: Mapping[str, EndpointLoad],
    engine: EngineSpec,
) -> tuple[PlannedMove, ...]:
    """Return the moves in the order of their copies on the source's link.

    The smallest go first, so that as many as possible are copied in time. Targets are
    filled evenly as far as the time allows: a copy to another data hall takes twice as
    long.
    """
    ordered = sorted(reports, key=_copy_order)
    moves: tuple[PlannedMove, ...] = ()
    for penalty_tokens in REMOTE_PENALTY_TOKENS:
        planner = _Planner(source, targets, loads, engine, penalty_tokens)
        moves = tuple(planner.plan(ordered))
        if planner.seconds <= COPY_BUDGET_SECONDS:
            break
    return moves


class _Planner:
    """One pass over the streams with a given penalty for other data halls."""

    def __init__(
        self,
        source: Endpoint,
        targets: Sequence[Endpoint],
        loads: Mapping[str, EndpointLoad],
        engine: EngineSpec,
        remote_penalty_tokens: int,
    ) -> None:
        self._source = source
        self._targets = targets
        self._loads = loads
        self._engine = engine
        self._remote_penalty_tokens = remote_penalty_tokens
        self._planned_tokens = dict.fromkeys((target.identity for target in targets), 0)
        self.seconds = 0.0

    def plan(self, reports: Iterable[StreamReport]) -> Iterator[PlannedMove]:
        """Yield a move for each stream; then `seconds` is the time of all copies."""
        for report in reports:
            target = min(self._targets, key=partial(self._rank, report), default=None)
            if target is None:
                return
            start = self.seconds
            self.seconds += self._engine.copy_seconds(
                report.held_tokens, within_data_hall=not self._is_remote(target)
            )
            method = MoveMethod.COPY
            if self.seconds > COPY_BUDGET_SECONDS and report.has_backup:
                method = MoveMethod.BACKUP
                start = min(start, COPY_BUDGET_SECONDS)
            yield PlannedMove(report.request, target, start, method)
            self._planned_tokens[target.identity] += report.held_tokens

    def _rank(self, report: StreamReport, target: Endpoint) -> tuple:
        load = self._loads.get(target.identity, NO_LOAD)
        tokens = load.projected_tokens + self._planned_tokens[target.identity]
        is_full = (
            tokens + report.held_tokens > MAX_MEMORY_SHARE * self._engine.memory_tokens
        )
        if self._is_remote(target):
            tokens += self._remote_penalty_tokens
        return is_full, tokens // LOAD_STEP_TOKENS, _tie_breaker(self._source, target)

    def _is_remote(self, target: Endpoint) -> bool:
        return target.data_hall != self._source.data_hall


def _tie_breaker(source: Endpoint, target: Endpoint) -> int:
    return stable_hash(source.identity, target.identity)


def _copy_order(report: StreamReport) -> tuple:
    """Return the sort key of a stream: first those that can't continue otherwise."""
    return report.has_backup, not report.has_begun, report.held_tokens, report.request
