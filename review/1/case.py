"""Rule LOST: a gateway that stops takes a stream late and ends in the midst of it."""

from __future__ import annotations

import asyncio
import signal

from harness import (
    Answer,
    configuration,
    engine_service,
    main,
    new_request_id,
    streaming_route,
    World,
)

CALLERS = 4
PACE_SECONDS = 0.12
"""Between two events; the sheet's pause for an answer in time is 0.18 s."""
FIRST_SECONDS = 0.3
"""To the first event; the sheet's aim is 1.8 s."""
BEFORE_TERM_SECONDS = 0.5
FIRST_EVENTS = 32
"""Events of the stream under way at the SIGTERM: it ends 3.5 s after it."""
LATE_EVENTS = 48
LATE_TOKENS = 200
"""The most that the late request may generate; it generates 4 x 48 = 192."""
EXCUSED_SECONDS = 3.0
"""From the rule: a request sent at most so long after the SIGTERM may be cut late."""
SEEN_SECONDS = 0.05
"""A runner that ended its run earlier than this before the cut has broken it off."""
GRACE_SECONDS = 8.0
DEADLINE_SECONDS = 39.0


async def case(world: World) -> bool:
    """Stop one of three gateways; return whether it cut a stream that it took late."""
    service = "huvo11a"
    route = streaming_route("review", "/lohu930/", service)
    spec = configuration(7, [route], [engine_service(service)])
    world.store.put("config", "main", spec)
    for engine in await world.add_engines(
        ["amd-hall-a", "amd-hall-b", "gnr-hall"], service
    ):
        engine.pace, engine.first_seconds = PACE_SECONDS, FIRST_SECONDS
    await world.start_gateways(["amd-hall-a", "amd-hall-b", "gnr-hall"])
    await asyncio.sleep(3.2)
    callers = [asyncio.create_task(_call(world)) for _ in range(CALLERS)]
    await asyncio.sleep(BEFORE_TERM_SECONDS)
    stopped_at = world.record.now
    if world.has_trouble:
        world.gateways[0].signal(signal.SIGTERM)
    late = await asyncio.gather(*callers)
    await asyncio.sleep(0.5)
    return any([_is_lost(world, answer, stopped_at) for answer in late])


async def _call(world: World) -> Answer:
    """Send two streams, one after the other, on a connection that is kept if it may."""
    caller = world.caller(world.gateways[0])
    await _stream(caller, FIRST_EVENTS, 4 * FIRST_EVENTS)
    if not caller.is_connected:
        world.record.note("the connection was not kept: the caller goes elsewhere")
        caller = world.caller(world.gateways[1])
    answer = await _stream(caller, LATE_EVENTS, LATE_TOKENS)
    caller.close()
    return answer


async def _stream(caller, events: int, most_tokens: int) -> Answer:
    request = new_request_id()
    return await caller.stream(
        request,
        "/lohu930/2f",
        events,
        token_usage=f"2000,{most_tokens}",
        prompt_prefix=f"5c1e07a2:47,91bd3f06:32,{request}:1921",
    )


def _is_lost(world: World, answer: Answer, stopped_at: float) -> bool:
    """Return whether a request was cut that the rule doesn't excuse."""
    if answer.is_complete:
        return False
    runs = [run for run in world.runs() if run.request == answer.request]
    sent_after = answer.sent_at - stopped_at
    ended_after = answer.ended_at - stopped_at
    took = answer.ended_at - answer.sent_at
    broke_off = any(
        run.ended_at is not None and run.ended_at < answer.ended_at - SEEN_SECONDS
        for run in runs
    )
    world.record.note(
        f"{answer.request} was sent {sent_after:.2f} s after the SIGTERM, reached "
        f"{[run.runner for run in runs]}, and was cut {ended_after:.2f} s after it, "
        f"after {len(answer.events)} of {LATE_EVENTS} events"
    )
    is_lost = (
        bool(runs)
        and not broke_off
        and sent_after > EXCUSED_SECONDS
        and ended_after <= GRACE_SECONDS + 1
        and took < DEADLINE_SECONDS
    )
    if is_lost:
        world.record.note(f"LOST {answer.request}")
    return is_lost


if __name__ == "__main__":
    main(case, __file__)
