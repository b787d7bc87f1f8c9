"""Rule TWICE: a stream goes on elsewhere while the runner that leaves still runs it."""

from __future__ import annotations

import asyncio
import random

from harness import (
    CannotRunError,
    configuration,
    Engine,
    engine_service,
    main,
    new_request_id,
    Run,
    streaming_route,
    World,
)

CALLERS = 21
EVENTS = (100, 150)
PROMPT_TOKENS = 6_000
"""The most that the deployment's sheet names for a long request."""
BACKUP_SECONDS = 1.0
"""A backup is complete some tenths of a second after the first event."""
MIN_STREAMS = 4
"""Streams of the runner that leaves: more than their memory can be copied in time."""
WAVES = 8
WAIT_SECONDS = 3.0
TWICE_SECONDS = 0.4
"""From the rule: so long after a request goes on, the runner before must not run it."""
SERVES_ON_SECONDS = 2.1
"""`drain_ms` is 2 s, and the runner serves on "a little longer"."""


async def case(world: World) -> bool:
    """Let one of six runners leave; return whether a stream ran at two at once."""
    service = "huvo11a"
    zones = [
        "amd-hall-a",
        "amd-hall-a",
        "amd-hall-b",
        "amd-hall-b",
        "gnr-hall",
        "gnr-hall",
    ]
    route = streaming_route("review", "/lohu930/", service)
    spec = configuration(7, [route], [engine_service(service)])
    world.store.put("config", "main", spec)
    engines = await world.add_engines(zones, service)
    for engine in (engines[0], engines[2]):
        engine.drops_closed = False
    await world.start_gateways(["amd-hall-a", "amd-hall-b"])
    await asyncio.sleep(3.2)
    leaving, callers = await _load(world)
    if world.has_trouble:
        leaving.drain()
        await asyncio.sleep(SERVES_ON_SECONDS)
        await leaving.leave()
    await asyncio.gather(*callers)
    return any([_ran_twice(world, run) for run in world.runs() if run.is_continued])


async def _load(world: World) -> tuple[Engine, list[asyncio.Task]]:
    """Start streams; return the runner that is to leave, and the callers.

    It doesn't drop what is closed, and has a stream that is backed up.
    """
    for _ in range(WAVES):
        callers = []
        for number in range(CALLERS):
            callers.append(asyncio.create_task(_call(world, number)))
            await asyncio.sleep(0.1)
        until = world.record.now + WAIT_SECONDS
        while world.record.now < until:
            await asyncio.sleep(0.05)
            for engine in world.engines:
                if not engine.drops_closed and _has_backup(world, engine):
                    counts = [len(e.running()) for e in world.engines]
                    world.record.note(f"runs at the runners: {counts}")
                    return engine, callers
        await asyncio.gather(*callers)
    raise CannotRunError("no stream of the runner that is to leave was backed up")


def _has_backup(world: World, engine: Engine) -> bool:
    runs = [run for run in engine.running() if run.made]
    now = world.record.now
    return len(runs) >= MIN_STREAMS and any(
        run.backup and now - run.began_at > BACKUP_SECONDS for run in runs
    )


async def _call(world: World, number: int) -> None:
    caller = world.caller(world.gateways[number % len(world.gateways)])
    request = new_request_id()
    await caller.stream(
        request,
        "/lohu930/2f",
        random.randint(*EVENTS),
        token_usage=f"{PROMPT_TOKENS},{4 * EVENTS[1]}",
        prompt_prefix=f"5c1e07a2:47,91bd3f06:32,{request}:{PROMPT_TOKENS - 79}",
    )
    caller.close()


def _ran_twice(world: World, continued: Run) -> bool:
    """Return whether a runner before worked on the request 0.4 s after it went on."""
    moment = continued.began_at + TWICE_SECONDS
    broken = False
    for run in world.runs():
        if run is continued or run.request != continued.request:
            continue
        if run.began_at < continued.began_at and run.worked_at(moment):
            broken = True
            ended = "never" if run.ended_at is None else f"{run.ended_at:.3f}"
            world.record.note(
                f"TWICE {run.request}: goes on at {continued.runner} at "
                f"{continued.began_at:.3f}, {run.runner} works on it until {ended} "
                f"({run.how}, event {run.made})"
            )
    return broken


if __name__ == "__main__":
    main(case, __file__)
