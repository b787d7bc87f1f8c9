"""Rule BUDGET: a request that crashes each of its runners after 2 s is never held."""

from __future__ import annotations

import asyncio

from harness import (
    Answer,
    configuration,
    engine_service,
    main,
    new_request_id,
    streaming_route,
    World,
)

SECONDS = 50.0
SOUND_PER_SECOND = 7
SOUND_EVENTS = 60
PACE_SECONDS = 0.04
DEADLY_EVERY_SECONDS = 5.0
"""A share of 0.028 of the requests of the route."""
DEADLY_EVENTS = 200
DEADLY_NOTE = "the same body each time"
CRASH_AFTER_SECONDS = 2.0
"""From the first event of the request to the crash of its runner."""
BACK_AFTER_SECONDS = 3.0
CONTACT_SECONDS = 3.0
KNOWN_CRASHES, MOST_RETRIES = 3, 3
"""From the rule: more than three retries, after it has crashed the third runner."""


async def case(world: World) -> bool:
    """Send a request that crashes its runners; return whether it is sent on."""
    service = "huvo11a"
    route = streaming_route("review", "/lohu930/", service)
    spec = configuration(7, [route], [engine_service(service)])
    world.store.put("config", "main", spec)
    zones = [*["amd-hall-a"] * 2, *["amd-hall-b"] * 2, *["gnr-hall"] * 2]
    for engine in await world.add_engines(zones, service):
        engine.pace = PACE_SECONDS
        engine.back_after_seconds = BACK_AFTER_SECONDS
        if world.has_trouble:
            engine.crashing_note = DEADLY_NOTE
            engine.crash_after_seconds = CRASH_AFTER_SECONDS
    await world.start_gateways(["amd-hall-a", "amd-hall-b", "gnr-hall"])
    await asyncio.sleep(3.5)
    async with asyncio.TaskGroup() as tasks:
        deadly = tasks.create_task(_deadly(world))
        sound = tasks.create_task(_sound(world))
    return _judge(world, deadly.result(), sound.result())


async def _deadly(world: World) -> list[str]:
    """Send the request again and again, at one gateway after the other."""
    requests = []
    until = world.record.now + SECONDS
    while world.record.now < until:
        next_at = world.record.now + DEADLY_EVERY_SECONDS
        gateway = world.gateways[len(requests) % len(world.gateways)]
        request = new_request_id()
        requests.append(request)
        caller = world.caller(gateway)
        await caller.stream(
            request,
            "/lohu930/2f",
            DEADLY_EVENTS,
            note=DEADLY_NOTE,
            token_usage=f"3000,{4 * DEADLY_EVENTS}",
            prompt_prefix=f"5c1e07a2:47,91bd3f06:32,{request}:2921",
        )
        caller.close()
        await asyncio.sleep(max(0.0, next_at - world.record.now))
    return requests


async def _sound(world: World) -> list[Answer]:
    """Send other requests of the route; no two are alike."""
    calls = []
    until = world.record.now + SECONDS
    while world.record.now < until:
        calls.append(asyncio.create_task(_call(world, len(calls))))
        await asyncio.sleep(1 / SOUND_PER_SECOND)
    return await asyncio.gather(*calls)


async def _call(world: World, number: int) -> Answer:
    caller = world.caller(world.gateways[number % len(world.gateways)])
    request = new_request_id()
    answer = await caller.stream(
        request,
        "/lohu930/2f",
        SOUND_EVENTS,
        token_usage=f"3000,{4 * SOUND_EVENTS}",
        prompt_prefix=f"5c1e07a2:47,91bd3f06:32,{request}:2921",
    )
    caller.close()
    return answer


def _judge(world: World, deadly: list[str], sound: list[Answer]) -> bool:
    crashes = sorted(at for engine in world.engines for at in engine.crashes)
    lost = [answer for answer in sound if not answer.is_complete]
    world.record.note(
        f"{len(deadly)} deadly and {len(sound)} sound requests; runners crashed at "
        f"{[round(at, 1) for at in crashes]}; {len(lost)} sound streams were cut"
    )
    if len(crashes) < KNOWN_CRASHES:
        return False
    since = crashes[KNOWN_CRASHES - 1] + CONTACT_SECONDS
    arrivals = (arrival for engine in world.engines for arrival in engine.arrivals)
    late = sorted(at for at, request in arrivals if request in deadly and at > since)
    world.record.note(
        f"BUDGET: {len(late)} retries reached runners later than {CONTACT_SECONDS:g} s "
        f"after the third crash, at {[round(at, 1) for at in late]}"
    )
    return len(late) > MOST_RETRIES


if __name__ == "__main__":
    main(case, __file__)
