"""`python -m devtools.soak`: plays seeds and tells which promises were broken."""

from __future__ import annotations

import shutil
import sys
import tempfile
from argparse import ArgumentParser, Namespace
from concurrent.futures import ProcessPoolExecutor
from http import HTTPStatus
from pathlib import Path
from random import Random
from typing import Protocol

import trio

from devtools.soak.asking_endpoints import AskingEndpoints
from devtools.soak.callers import Callers
from devtools.soak.checks import find_broken, find_broken_by_planned_work
from devtools.soak.crashing_caller import CrashingCaller
from devtools.soak.crashing_part_caller import CrashingPartCaller
from devtools.soak.drill import Drill
from devtools.soak.faults import PLANNED_WORK, Troubles
from devtools.soak.fleet import Fleet, Gateway
from devtools.soak.limiting_endpoints import LimitingEndpoints
from devtools.soak.outages import Outages
from devtools.soak.skewed_connections import SkewedConnections
from devtools.soak.uneven_fleet import UnevenFleet
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError
from piershore.http1.message import RequestHead
from standins.published_endpoint import PACE_SECONDS

CASES = Path(__file__).with_name("cases.txt")
"""Seeds that ever failed, each with a line on the cause."""
KEPT = Path("build/soak")
READY_SECONDS = 60.0
"""Time to start on a busy machine; no promise."""
READY_HEADERS = ((b"host", b"gateway"),)
CALL_SECONDS = 2.0
QUIET_SECONDS = 1.0
MOST_SECONDS = 150.0
SLOW_PACES_SECONDS = (PACE_SECONDS, 3 * PACE_SECONDS)
"""With the slower one, some streams last longer than a gateway's grace."""


class Extra(Protocol):
    """Something that a soak plays beside callers and faults."""

    async def run(self, seconds: float) -> None:
        """Play for some seconds."""


def main() -> int:
    """Play the seeds asked for, and those that ever failed."""
    options = _options()
    cases = [] if options.planned else _case_seeds()
    seeds = [*cases, *range(options.first, options.first + options.seeds)]
    broken = []
    with ProcessPoolExecutor(options.jobs) as pool:
        runs = [pool.submit(play, seed, options) for seed in dict.fromkeys(seeds)]
        for run in runs:
            text, is_broken = run.result()
            print(text, flush=True)
            if is_broken:
                broken.append(text)
    for text in broken:
        print(text)
    print(
        f"{len(runs) - len(broken)} seeds kept all promises, {len(broken)} broke some"
    )
    return 1 if broken else 0


def play(seed: int, options: Namespace) -> tuple[str, bool]:
    """Play one seed; return what to print and whether a promise was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    services = {"desk": 3, "model": 3}
    paces = SLOW_PACES_SECONDS if options.planned else (PACE_SECONDS,)
    fleet = Fleet(folder, options.gateways, services, seed, paces)
    random = Random(seed)
    callers = Callers(fleet, random, options.callers)
    names = PLANNED_WORK if options.planned else ()
    troubles = Troubles(fleet, random, options.gap, names)
    outages = Outages(fleet)
    extras = []
    if options.crashing:
        extras.append(CrashingCaller(fleet, callers, seed))
    if options.crashing_part:
        extras.append(CrashingPartCaller(fleet, callers, seed))
    if options.skewed:
        extras.append(SkewedConnections(fleet, callers, seed))
    if options.asking:
        extras.append(AskingEndpoints(fleet, seed))
    if options.limiting:
        extras.append(LimitingEndpoints(fleet, seed))
    if options.uneven:
        extras.append(UnevenFleet(fleet, callers, seed))
    if options.drill:
        extras.append(Drill(fleet, troubles, seed))
    try:
        trio.run(_run, fleet, callers, extras, troubles, outages, options.seconds)
        findings = list(find_broken(fleet, callers, troubles, outages))
        if options.planned:
            findings += find_broken_by_planned_work(fleet, callers)
    finally:
        fleet.close()
    served = sum(call.status == 200 for call in callers.calls)
    text = f"seed {seed}: {len(callers.calls)} calls, {served} served"
    text += f", {troubles.played} faults"
    if findings:
        kept = KEPT / "-".join([*_played_options(options), str(seed)])
        shutil.rmtree(kept, ignore_errors=True)
        shutil.copytree(folder, kept)
        (kept / "faults.txt").write_text("\n".join([*troubles.told, *findings]))
        shown = "\n  ".join(findings[:10])
        text += f": BROKEN, logs in {kept}\n  {shown}"
    shutil.rmtree(folder, ignore_errors=True)
    return text, bool(findings)


def _played_options(options: Namespace) -> list[str]:
    names = ("crashing", "crashing_part", "skewed", "asking", "limiting", "drill")
    names += ("uneven", "planned")
    return [name for name in names if getattr(options, name)]


async def _run(
    fleet: Fleet,
    callers: Callers,
    extras: list[Extra],
    troubles: Troubles,
    outages: Outages,
    seconds: float,
) -> None:
    with trio.fail_after(MOST_SECONDS):
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            await _wait_ready(fleet)
            nursery.start_soon(troubles.watch_standstill)
            nursery.start_soon(outages.watch)
            async with trio.open_nursery() as playing:
                playing.start_soon(callers.run, seconds + QUIET_SECONDS)
                for extra in extras:
                    playing.start_soon(extra.run, seconds + QUIET_SECONDS)
                playing.start_soon(troubles.run, seconds)
            nursery.cancel_scope.cancel()


async def _wait_ready(fleet: Fleet) -> None:
    with trio.fail_after(READY_SECONDS):
        for gateway in fleet.gateways:
            while not await _is_ready(gateway):
                await trio.sleep(0.05)


async def _is_ready(gateway: Gateway) -> bool:
    """Ask a gateway itself: its callers' port is open long before it is ready."""
    try:
        connection = await ClientConnection.open(*gateway.ready_address, CALL_SECONDS)
    except NotConnectedError:
        return False
    try:
        with trio.fail_after(CALL_SECONDS):
            await connection.send(RequestHead(b"GET", b"/readyz", READY_HEADERS), b"")
            return (await connection.read_head()).status == HTTPStatus.OK
    except (ExchangeBrokenError, trio.TooSlowError):
        return False
    finally:
        await connection.close()


def _case_seeds() -> list[int]:
    lines = CASES.read_text().splitlines() if CASES.exists() else []
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


def _options() -> Namespace:
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="how many seeds")
    parser.add_argument("--first", type=int, default=1, help="the first of them")
    parser.add_argument("--jobs", type=int, default=2, help="seeds played at once")
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--gap", type=float, default=0.25, help="between faults, s")
    parser.add_argument(
        "--crashing",
        action="store_true",
        help="a request comes under which endpoints crash",
    )
    parser.add_argument(
        "--crashing-part",
        action="store_true",
        help="unlike requests have a part of their prompts that crashes engines",
    )
    parser.add_argument(
        "--skewed",
        action="store_true",
        help="most new connections go to one gateway for some seconds",
    )
    parser.add_argument(
        "--asking",
        action="store_true",
        help="endpoints say in their answers that they leave, or ask for rest",
    )
    parser.add_argument(
        "--limiting",
        action="store_true",
        help="endpoints name the rate that they take from all gateways together",
    )
    parser.add_argument(
        "--drill",
        action="store_true",
        help="the store comes back from older copies",
    )
    parser.add_argument(
        "--uneven",
        action="store_true",
        help="engines differ in speed, and some callers read slowly",
    )
    parser.add_argument(
        "--planned",
        action="store_true",
        help="nothing but planned work, by which nothing may be cut or run twice",
    )
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
