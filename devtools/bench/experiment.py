"""What the experiments of admission policies are made of."""

from __future__ import annotations

from dataclasses import dataclass

from devtools.bench.workload import Mix


@dataclass(frozen=True)
class Situation:
    """What is special about a run; all but the first are at load 0.9."""

    name: str
    load: float
    drift: float = 1.0
    burst: float = 1.0
    engines: int = 1
    reclaim: bool = False


@dataclass(frozen=True)
class Figures:
    """One run in numbers; times in seconds, preemptions for 1,000 generations."""

    stall_p50: float
    stall_p99: float
    stall_total: float
    preemptions: float
    gap_p99: float
    gap_p999: float
    first_token_p95: float
    goodput: float
    refusals: str


@dataclass(frozen=True)
class Job:
    """One run to make."""

    mix: Mix
    policy: str
    situation: Situation
    capacity: float
    seed: int
    seconds: float
