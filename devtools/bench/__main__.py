"""`make bench`: policies and baselines on both mixes, in one run."""

from __future__ import annotations

from argparse import ArgumentParser
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from random import Random
from statistics import median

from tabulate import tabulate

from devtools.bench.experiment import Figures, Job, Situation
from devtools.bench.plot import plot
from devtools.bench.simulation import RunResult, simulate
from devtools.bench.workload import arrivals, Load, Mix, MIXES

SEED = 1_000
SEEDS = 3
SECONDS = 400.0
LOADS = (0.7, 0.9, 1.1, 1.3)
POLICIES = (
    "fixed_slots",
    "memory_free_now",
    "reserve_maximum",
    "projected_peak",
    "known_lengths",
)
SATURATING_RATE = 8.0
CALIBRATION_SECONDS = 300.0


SITUATIONS = (
    *(Situation(f"load {load}", load) for load in LOADS),
    Situation("drift x3", 0.9, drift=3.0),
    Situation("burst x4", 0.9, burst=4.0),
    Situation("engine reclaimed", 0.9, engines=3, reclaim=True),
)


def run(job: Job) -> Figures:
    """Make one run."""
    admission = replace(job.mix.admission, policy=job.policy)
    if job.policy != "projected_peak":
        admission = replace(admission, token_pace=None)
    situation = job.situation
    rate = job.capacity * situation.load * situation.engines
    load = Load(rate, job.seconds, situation.drift, situation.burst)
    requests = arrivals(job.mix, load, Random(job.seed))
    result = simulate(
        admission,
        requests,
        job.seconds,
        engines=situation.engines,
        reclaim_at=job.seconds / 2 if situation.reclaim else None,
        seed=job.seed,
    )
    return figures(result)


def capacity(mix: Mix) -> float:
    """Return the requests a second that the bound finishes when saturated."""
    admission = replace(mix.admission, policy="known_lengths", token_pace=None)
    load = Load(SATURATING_RATE, CALIBRATION_SECONDS)
    requests = list(arrivals(mix, load, Random(SEED)))
    requests = [replace(r, deadline=None, priority=0) for r in requests]
    result = simulate(admission, requests, CALIBRATION_SECONDS)
    return sum(s.finished for s in result.streams) / CALIBRATION_SECONDS


def figures(result: RunResult) -> Figures:
    """Return a run in numbers."""
    started = [s for s in result.streams if s.first_token_at is not None]
    stalls = sorted(s.stall for s in started)
    gaps = sorted(result.gaps)
    waits = sorted(s.first_token_at - s.candidate.arrived_at for s in started)
    tokens = sum(s.tokens for s in started if s.finished)
    reasons = ", ".join(f"{r} {n}" for r, n in sorted(result.refusals.items()))
    return Figures(
        stall_p50=quantile(stalls, 0.5),
        stall_p99=quantile(stalls, 0.99),
        stall_total=sum(stalls),
        preemptions=1_000 * result.preemptions / max(1, len(started)),
        gap_p99=quantile(gaps, 0.99),
        gap_p999=quantile(gaps, 0.999),
        first_token_p95=quantile(waits, 0.95),
        goodput=tokens / result.seconds,
        refusals=reasons or "-",
    )


def quantile(ordered: list[float], share: float) -> float:
    """Return a quantile of sorted values, 0 if there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def spread(values: list[float], digits: int) -> str:
    """Return the median, and the lowest and highest in brackets."""
    low, high = min(values), max(values)
    return f"{median(values):.{digits}f} [{low:.{digits}f}..{high:.{digits}f}]"


def main() -> None:
    """Run all experiments and print the tables."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--situations", default="")
    parser.add_argument("--plot", default="")
    parser.add_argument("--risk", type=float, default=None)
    parser.add_argument("--pace", type=float, default=None)
    arguments = parser.parse_args()
    mixes = [_with_settings(mix, arguments.risk, arguments.pace) for mix in MIXES]
    policies = arguments.policies.split(",")
    wanted = arguments.situations.split(",") if arguments.situations else None
    situations = [s for s in SITUATIONS if wanted is None or s.name in wanted]
    with ProcessPoolExecutor() as pool:
        rates = dict(zip(mixes, pool.map(capacity, mixes), strict=True))
        jobs = [
            Job(mix, policy, situation, rates[mix], SEED + seed, arguments.seconds)
            for mix in mixes
            for situation in situations
            for policy in policies
            for seed in range(arguments.seeds)
        ]
        done = dict(zip(jobs, pool.map(run, jobs), strict=True))
    for mix in mixes:
        print(f"\n## {mix.name}: {rates[mix]:.2f} requests a second at load 1\n")
        print_table(mix, situations, policies, done)
    if arguments.plot:
        plot(Path(arguments.plot), done)


def _with_settings(mix: Mix, risk: float | None, pace: float | None) -> Mix:
    admission = mix.admission
    if risk is not None:
        admission = replace(admission, risk=risk)
    if pace is not None and admission.token_pace is not None:
        admission = replace(admission, token_pace=pace)
    return replace(mix, admission=admission)


def print_table(
    mix: Mix,
    situations: list[Situation],
    policies: list[str],
    done: dict[Job, Figures],
) -> None:
    """Print one mix's table."""
    rows = []
    for situation in situations:
        for policy in policies:
            own = [
                f
                for job, f in done.items()
                if (job.mix, job.situation, job.policy) == (mix, situation, policy)
            ]
            refusals = Counter(f.refusals for f in own).most_common(1)[0][0]
            rows.append(
                (
                    situation.name,
                    policy,
                    spread([f.stall_p99 for f in own], 2),
                    spread([f.stall_total for f in own], 0),
                    spread([f.preemptions for f in own], 1),
                    spread([1_000 * f.gap_p99 for f in own], 0),
                    spread([1_000 * f.gap_p999 for f in own], 0),
                    spread([f.first_token_p95 for f in own], 1),
                    spread([f.goodput for f in own], 0),
                    refusals,
                )
            )
    headers = (
        "situation",
        "policy",
        "stall p99 s",
        "stall total s",
        "preempted/1000",
        "gap p99 ms",
        "gap p99.9 ms",
        "first token p95 s",
        "goodput tok/s",
        "refusals (one seed)",
    )
    print(tabulate(rows, headers, tablefmt="github"))


if __name__ == "__main__":
    main()
