"""Decides which running generations move because their engine is too full or too slow.

The load pattern: a sixth of the engines leaves every few seconds. Their generations
move to the others, which then hold more than their memory will bear, while the
replacements are empty. An engine that runs out of memory preempts the newest of its
least urgent generations in the middle of their streams, and reads them again later.

Each gateway decides on its own streams only, and no coordinator assigns them. So that
gateways with streams at the same engine don't act on the same view, they take turns: a
stable hash orders them alike, and each looks again at its turn, when it has received
the load updates of the moves before. Gateways that don't agree on the order, or act on
old views, at worst move more streams than necessary: a target has memory for at least
one more stream than the one that it was chosen for, and refuses a copy when it is full.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from heapq import nsmallest
from math import inf, isfinite

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.generation_admission import TOKEN_SECONDS
from piershore.core.hashing import stable_hash
from piershore.core.routes.service_spec import EngineSpec

HORIZON_SECONDS = 2.0
"""An engine is relieved if its memory runs out within this time: turns, a copy and the
stop of a run take up to a second, and later growth is too uncertain."""
MAX_TARGET_SHARE = 0.7
"""Share of a target's memory that may be projected at the expected ends, with the
stream: the rest is enough for a stream that a peer moves there at the same time and for
new ones that are placed there, and the target doesn't have to be relieved soon after.
"""
MIN_REMAINING_TOKENS = 150
"""Expected output below which a stream stays: it ends before a move would be worth its
pause, and frees its memory then."""
MIN_STAY_SECONDS = 3.0
"""Minimum time between two moves of one stream."""
MIN_TARGET_INTERVAL_SECONDS = 2.0
"""Minimum time between two moves of one gateway to the same target: a copy has arrived
by then or was refused, and peers have reported what they moved there."""
MIN_MOVE_INTERVAL_SECONDS = 1.0
"""Minimum time between two moves that one gateway begins: a gateway has few streams at
an engine, and many gateways may act on views that are up to a second old."""
MIN_SLOWNESS = 1.3
"""Slowness, relative to the service, of an endpoint that streams move away from."""
MIN_SAVED_SECONDS = 1.5
"""Time by which a stream must end sooner at a faster endpoint: the copy occupies both
links, and the pause of the move is a risk for its caller."""
MOVE_PAUSE_SECONDS = 0.1
"""Usual pause of a stream while it changes its endpoint."""
MAX_STREAMS = 3
"""Streams for which a target is looked for, at each source: if none is found for these,
one is seldom found for the others."""
HASH_RANGE = 2.0**64


class LoadMoveCause(StrEnum):
    """Why a stream moves to another endpoint."""

    MEMORY = "memory"
    SPEED = "speed"


TURN_SECONDS = {LoadMoveCause.MEMORY: 0.2, LoadMoveCause.SPEED: 0.5}
"""Length of a gateway's turn by cause: peers receive its load update in 14 ms, and all
gateways notice the cause within one check. Longer turns bound the moves that begin
while views are old. Nothing is lost by waiting at an endpoint that is only slow."""

Slowness = Callable[[str, str], float]
"""Time per token of an endpoint relative to its service, by identity and service."""


def uniform_slowness(identity: str, service: str) -> float:
    """Return the slowness of endpoints whose speeds aren't known to differ."""
    return 1.0


@dataclass(frozen=True)
class MovableStream:
    """A running generation of this gateway.

    `priority` 0 is the most urgent. `begun_at` is when its first event came from its
    endpoint, `moved_at` when it last changed the endpoint.
    """

    request: str
    source: Endpoint
    held_tokens: int
    remaining_tokens: int
    priority: int
    begun_at: float
    moved_at: float = -inf

    @property
    def projected_tokens(self) -> int:
        """Memory in use at the expected end."""
        return self.held_tokens + self.remaining_tokens


@dataclass(frozen=True)
class FleetView:
    """What a gateway knows of a service's engines.

    `sources` run streams of this gateway, `streams_at` returns those that can move.
    They move between endpoints that `accepts_work` only, to one of its `targets`.
    `load_at` returns the known load of an endpoint, `hosts_at` the peers with work
    there.
    """

    engine: EngineSpec
    sources: Collection[Endpoint]
    streams_at: Callable[[Endpoint], Iterable[MovableStream]]
    targets: Callable[[], Iterable[Endpoint]]
    accepts_work: Callable[[Endpoint], bool]
    load_at: Callable[[str], EndpointLoad]
    hosts_at: Callable[[str], Iterable[str]]


@dataclass(frozen=True)
class LoadMove:
    """A stream that moves now, and what the decision is based on.

    `source_tokens` is the memory that the source would need within the horizon,
    `target_tokens` the memory projected at the target with the stream.
    """

    stream: MovableStream
    target: Endpoint
    cause: LoadMoveCause
    source_tokens: int
    target_tokens: int
    source_slowness: float
    target_slowness: float


def tokens_within_horizon(load: EndpointLoad, slowness: float = 1.0) -> int:
    """Return the memory that an engine's generations will need soon.

    It is less than the memory in use if generations are moving away.
    """
    steps = HORIZON_SECONDS / (TOKEN_SECONDS * slowness)
    growth = min(load.projected_tokens - load.held_tokens, load.requests * steps)
    return load.held_tokens + (round(growth) if isfinite(growth) else 0)


class LoadMovePlanner:
    """Decides for one gateway which of its streams of one service move."""

    def __init__(self, host: str, slowness: Slowness = uniform_slowness) -> None:
        self._host = host
        self._slowness = slowness
        self._due: dict[tuple[str, LoadMoveCause], float] = {}
        self._moved: dict[str, float] = {}
        self._targeted: dict[str, float] = {}
        self._begun_at = -inf

    def plan(self, view: FleetView, now: float) -> LoadMove | None:
        """Return the move to begin now, if any.

        The caller reports the resulting loads to its peers before the next call.
        """
        self._forget_before(now)
        possible = {
            (move.stream.source.identity, move.cause): move
            for move in self._possible_moves(view, now)
        }
        self._due = {key: due for key, due in self._due.items() if key in possible}
        for (identity, cause), move in possible.items():
            if self._has_turn(identity, cause, view, now):
                self._record(move, view, now)
                return move
        return None

    def _possible_moves(self, view: FleetView, now: float) -> Iterator[LoadMove]:
        """Yield the best move away from each source that streams should leave."""
        for source, cause, source_tokens in self._causes(view):
            movable = (s for s in view.streams_at(source) if self._may_move(s, now))
            move = self._best_move(movable, cause, source_tokens, view)
            if move is not None:
                yield move

    def _causes(self, view: FleetView) -> Iterator[tuple[Endpoint, LoadMoveCause, int]]:
        """Yield which sources streams should leave and why, and the memory needed."""
        for source in view.sources:
            slowness = self._slowness_of(source)
            tokens = tokens_within_horizon(view.load_at(source.identity), slowness)
            is_full = tokens > view.engine.memory_tokens
            is_slow = slowness >= MIN_SLOWNESS
            if (is_full or is_slow) and view.accepts_work(source):
                if is_full:
                    yield source, LoadMoveCause.MEMORY, tokens
                if is_slow:
                    yield source, LoadMoveCause.SPEED, tokens

    def _has_turn(
        self, identity: str, cause: LoadMoveCause, view: FleetView, now: float
    ) -> bool:
        """Return whether it is this gateway's turn at a source.

        The turns begin when a move becomes possible: otherwise all gateways that wait
        for a target would use the next one at the same moment.
        """
        key = identity, cause
        if key not in self._due:
            self._due[key] = now + self._delay(identity, cause, view)
        has_paused = now - self._begun_at >= MIN_MOVE_INTERVAL_SECONDS
        return has_paused and now >= self._due[key]

    def _delay(self, identity: str, cause: LoadMoveCause, view: FleetView) -> float:
        """Return the time until this gateway's turn, by a hash that all compute alike.

        The turns at different sources begin at different times.
        """
        hosts = {self._host, *view.hosts_at(identity)}
        own = stable_hash(identity, self._host)
        rank = sum(stable_hash(identity, host) < own for host in hosts)
        offset = stable_hash(identity) / HASH_RANGE
        return TURN_SECONDS[cause] * (rank + offset)

    def _may_move(self, stream: MovableStream, now: float) -> bool:
        return (
            stream.remaining_tokens >= MIN_REMAINING_TOKENS
            and now - stream.moved_at >= MIN_STAY_SECONDS
            and stream.request not in self._moved
        )

    def _best_move(
        self,
        streams: Iterable[MovableStream],
        cause: LoadMoveCause,
        source_tokens: int,
        view: FleetView,
    ) -> LoadMove | None:
        """Return the move of the first stream that has a target."""
        preferred = nsmallest(MAX_STREAMS, streams, key=lambda s: _order(s, cause))
        for stream in preferred:
            targets = self._targets(stream, cause, view)
            target = min(targets, key=lambda t: _target_order(stream, t), default=None)
            if target is None:
                continue
            load = view.load_at(target.identity)
            return LoadMove(
                stream,
                target,
                cause,
                source_tokens,
                _tokens_with(stream, load),
                self._slowness_of(stream.source),
                self._slowness_of(target),
            )
        return None

    def _targets(
        self, stream: MovableStream, cause: LoadMoveCause, view: FleetView
    ) -> Iterator[Endpoint]:
        """Yield the endpoints where the stream may continue."""
        max_tokens = MAX_TARGET_SHARE * view.engine.memory_tokens
        for target in view.targets():
            if target.identity == stream.source.identity:
                continue
            if target.identity in self._targeted or not view.accepts_work(target):
                continue
            load = view.load_at(target.identity)
            tokens = _tokens_with(stream, load)
            if tokens > max_tokens or load.requests + 1 >= view.engine.slots:
                continue
            if self._is_fast_enough(stream, target, cause):
                yield target

    def _is_fast_enough(
        self, stream: MovableStream, target: Endpoint, cause: LoadMoveCause
    ) -> bool:
        here = self._slowness_of(stream.source)
        there = self._slowness_of(target)
        if cause is LoadMoveCause.MEMORY:
            return there < MIN_SLOWNESS or there <= here
        saved = stream.remaining_tokens * TOKEN_SECONDS * (here - there)
        return there < MIN_SLOWNESS and saved - MOVE_PAUSE_SECONDS >= MIN_SAVED_SECONDS

    def _slowness_of(self, endpoint: Endpoint) -> float:
        """Return the slowness of an endpoint; 1.0 for a value that is no ratio."""
        slowness = self._slowness(endpoint.identity, endpoint.service)
        return slowness if 0 < slowness < inf else 1.0

    def _record(self, move: LoadMove, view: FleetView, now: float) -> None:
        """Record a move; this gateway's next one at the source waits for its peers."""
        identity = move.stream.source.identity
        turns = len({self._host, *view.hosts_at(identity)})
        self._due[identity, move.cause] = now + TURN_SECONDS[move.cause] * turns
        self._moved[move.stream.request] = now
        self._targeted[move.target.identity] = now
        self._begun_at = now

    def _forget_before(self, now: float) -> None:
        _drop_older(self._moved, now - MIN_STAY_SECONDS)
        _drop_older(self._targeted, now - MIN_TARGET_INTERVAL_SECONDS)


def _tokens_with(stream: MovableStream, load: EndpointLoad) -> int:
    """Return the most memory that a target is expected to need with a stream.

    Generations that move away from it use its memory until they are copied.
    """
    return max(load.held_tokens, load.projected_tokens) + stream.projected_tokens


def _order(stream: MovableStream, cause: LoadMoveCause) -> tuple:
    """Return the sort key of the streams at one source: the first should move.

    For memory that is the one which the engine would preempt, as far as this gateway
    knows: the newest of the least urgent.
    """
    if cause is LoadMoveCause.SPEED:
        return (-stream.remaining_tokens, stream.request)
    return (-stream.priority, -stream.begun_at, stream.request)


def _target_order(stream: MovableStream, target: Endpoint) -> tuple:
    """Return the sort key of a stream's targets.

    Copies to another data hall take twice as long. Otherwise a hash decides: if all
    gateways chose the emptiest target, it would be full a moment later.
    """
    is_remote = target.data_hall != stream.source.data_hall
    return is_remote, stable_hash(stream.request, target.identity)


def _drop_older(times: dict[str, float], oldest: float) -> None:
    for key in [key for key, at in times.items() if at <= oldest]:
        del times[key]
