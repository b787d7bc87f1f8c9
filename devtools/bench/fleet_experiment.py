"""`make fleet`: placement policies of several gateways with aged views, in one run."""

from __future__ import annotations

from argparse import ArgumentParser
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from statistics import mean

from tabulate import tabulate

from devtools.bench.fleet_plot import plot_fleet
from devtools.bench.fleet_settings import (
    COMPETING_WORK,
    FleetSettings,
    LongBurst,
    SHIFTED_WORK,
)
from devtools.bench.fleet_simulation import FleetRun
from devtools.bench.simulated_fleet import FleetStream
from piershore.core.fleet.placement_policy import PLACEMENT_POLICIES
from piershore.core.fleet.report_timing import report_interval

SEED = 2_000
SEEDS = 5
SECONDS = 120.0
SHORT_AIM_SECONDS = 1.5
PAUSE_AIM_SECONDS = 0.18
FRESH = FleetSettings("projected_peak", SECONDS)
STARTS_AN_ENGINE = 0.9
"""Generations a second at an engine of the users' large fleet: a third of what it could
read."""


def many(gateways: int, engines: int, seconds: float = 30.0) -> FleetSettings:
    """Return a fleet whose reports come as rarely as its size makes them."""
    return replace(
        FRESH,
        gateways=gateways,
        engines=engines,
        rate=STARTS_AN_ENGINE * engines,
        report_interval=report_interval(gateways - 1),
        callers_a_gateway=1.4,
        seconds=seconds,
    )


LARGE = many(68, 31)
SITUATIONS = {
    "fresh views": FRESH,
    "views 0.5 s old": replace(FRESH, report_interval=1.0, tells_starts=False),
    "views 2 s old": replace(FRESH, report_interval=4.0, tells_starts=False),
    "30 gateways, 22 engines": replace(FRESH, gateways=30, engines=22, rate=22.0),
    "68 gateways, 31 engines": LARGE,
    "68, all engines": replace(LARGE, subsets=False, tells_starts=False),
    "68, all engines, all told": replace(LARGE, subsets=False),
    "68, starts not told": replace(LARGE, tells_starts=False),
    "68, crowded, refused": replace(LARGE, rate=70.0, refuses=True),
    "68, all engines, crowded, refused": replace(
        LARGE, rate=70.0, refuses=True, subsets=False, tells_starts=False
    ),
    "68, 5 engines leave each 3.3 s": replace(LARGE, reclaim_every=0.66),
    "68, all engines, 5 leave each 3.3 s": replace(
        LARGE, reclaim_every=0.66, subsets=False, tells_starts=False
    ),
    "100 gateways, 31 engines": many(100, 31),
    "crowded": replace(FRESH, rate=14.0),
    "crowded, refused": replace(FRESH, rate=14.0, refuses=True),
    "reclaimed, moved": replace(FRESH, reclaim_every=3.3),
    "reclaimed, not moved": replace(FRESH, reclaim_every=3.3, moves=False),
    "crashes, backups": replace(FRESH, reclaim_every=6.0, notice=0.0),
    "crashes, no backups": replace(FRESH, reclaim_every=6.0, notice=0.0, moves=False),
}
SHIFTED = replace(
    FRESH,
    gateways=23,
    engines=22,
    rate=30.0,
    report_interval=report_interval(22),
    refuses=True,
    work=SHIFTED_WORK,
)
RECLAIMED = replace(SHIFTED, reclaim_every=0.8)
CROWDED = replace(RECLAIMED, rate=42.0)
SITUATIONS |= {
    f"{name}, {way}": replace(settings, **changed)
    for name, settings in (
        ("shifted, 17 % leave each 3.3 s", RECLAIMED),
        ("shifted, the same and 1.4 times the load", CROWDED),
    )
    for way, changed in (
        ("median", {"lengths": "median"}),
        ("mean", {}),
        ("median, waits", {"lengths": "median", "waits": True}),
        ("mean, waits", {"waits": True}),
    )
}
COMPETING = replace(
    FRESH,
    gateways=29,
    engines=21,
    rate=26.0,
    report_interval=report_interval(28),
    refuses=True,
    waits=True,
    work=COMPETING_WORK,
    reclaim_every=1.0,
    long_aim=4.0,
    urgent_short=True,
)
SITUATIONS |= {
    f"competing, {load}, {way}": replace(COMPETING, **changed, headroom=headroom)
    for load, changed in (
        ("usual", {}),
        ("1.4 times the load", {"rate": 36.0}),
        ("bursts of long ones", {"long_burst": LongBurst(factor=2.5)}),
    )
    for way, headroom in (("no headroom", False), ("headroom", True))
}
LARGEST = many(410, 2_300, 4.0)
MINUTES_LONG = {
    "410 gateways, 2300 engines": LARGEST,
    "410, all engines": replace(LARGEST, subsets=False, tells_starts=False),
}
"""Situations that are only played when they are named: minutes for each run."""


@dataclass(frozen=True)
class FleetFigures:
    """One run: shares of the long streams and the short ones that come in aim, of the
    long ones that are lost or refused, preemptions of 1,000 streams.

    A refused caller comes back once, and is in aim by its first try; its first token's
    times count from its return. `refused` are those that were refused again. `excess`
    is how many more generations were at the chosen engine than at the least loaded one,
    in the mean; `messages` were sent to peers for each start.
    """

    in_aim: float
    short_in_aim: float
    lost: float
    refused: float
    preempted: float
    first_p90: float
    first_p95: float
    excess: float
    messages: float


def measure(settings: FleetSettings, seed: int) -> FleetFigures:
    """Make one run."""
    fleet = FleetRun(settings, seed)
    streams = fleet.run()
    long = [s for s in streams if s.work.size.max_output_tokens > 1_000]
    short = [s for s in streams if s.work.size.max_output_tokens <= 1_000]
    in_aim = partial(is_in_aim, long_aim=settings.long_aim)
    waits = sorted(s.first_at - s.arrived_at for s in streams if s.first_at)
    return FleetFigures(
        in_aim=mean(map(in_aim, long)),
        short_in_aim=mean(map(in_aim, short)),
        lost=mean(s.is_lost for s in long),
        refused=mean(s.refusals > 1 for s in long),
        preempted=1_000 * mean(s.preemptions for s in streams),
        first_p90=waits[int(0.90 * len(waits))],
        first_p95=waits[int(0.95 * len(waits))],
        excess=mean(placing.excess for placing in fleet.placings),
        messages=fleet.messages / len(streams),
    )


def _lasting(settings: FleetSettings, most: float) -> FleetSettings:
    return settings.lasting(min(most, settings.seconds))


def is_in_aim(stream: FleetStream, long_aim: float) -> bool:
    """Return whether a stream came whole, with its first token and pauses in aim."""
    if not stream.is_whole or stream.longest_pause > PAUSE_AIM_SECONDS:
        return False
    waited = stream.came_back_after + stream.first_at - stream.arrived_at
    is_long = stream.work.size.max_output_tokens > 1_000
    return waited <= (long_aim if is_long else SHORT_AIM_SECONDS)


def main() -> None:
    """Run all situations with all policies and print the table."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--plot", default="")
    parser.add_argument("--situations", default="")
    parser.add_argument("--policies", default=";".join(PLACEMENT_POLICIES))
    parser.add_argument("--jobs", type=int, default=None)
    arguments = parser.parse_args()
    known = SITUATIONS | MINUTES_LONG
    wanted = arguments.situations.split(";") if arguments.situations else SITUATIONS
    jobs = [
        (situation, policy, SEED + seed)
        for situation in wanted
        for policy in arguments.policies.split(";")
        for seed in range(arguments.seeds)
    ]
    settings = [
        _lasting(replace(known[name], policy=policy), arguments.seconds)
        for name, policy, _ in jobs
    ]
    with ProcessPoolExecutor(arguments.jobs) as pool:
        done = list(pool.map(measure, settings, [seed for *_, seed in jobs]))
    figures: dict[tuple[str, str], list[FleetFigures]] = {}
    for (name, policy, _), result in zip(jobs, done, strict=True):
        figures.setdefault((name, policy), []).append(result)
    print(tabulate(_rows(figures), HEADERS, tablefmt="github"))
    if arguments.plot:
        plot_fleet(Path(arguments.plot), figures)


HEADERS = (
    "situation",
    "policy",
    "long streams in aim",
    "short ones in aim",
    "lost",
    "refused",
    "preempted/1000",
    "first token p90 s",
    "first token p95 s",
    "more than at the least loaded",
    "messages a start",
)


def _rows(figures):
    for (name, policy), results in figures.items():
        yield (
            name,
            policy,
            _spread([r.in_aim for r in results], 3),
            _spread([r.short_in_aim for r in results], 3),
            _spread([r.lost for r in results], 3),
            _spread([r.refused for r in results], 3),
            _spread([r.preempted for r in results], 1),
            _spread([r.first_p90 for r in results], 2),
            _spread([r.first_p95 for r in results], 2),
            _spread([r.excess for r in results], 2),
            _spread([r.messages for r in results], 1),
        )


def _spread(values: list[float], digits: int) -> str:
    low, high = min(values), max(values)
    return f"{mean(values):.{digits}f} [{low:.{digits}f}..{high:.{digits}f}]"


if __name__ == "__main__":
    main()
