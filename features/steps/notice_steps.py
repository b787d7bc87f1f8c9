"""Steps for notices that endpoints attach to the heads of their answers."""

from __future__ import annotations

from dataclasses import replace

import trio
from behave import given, then, when
from support.core_checks import fleet_of
from support.gateway_states import known_endpoint, state_of
from support.stream_reading import SMALL_SIZE, StreamReading, wait_for_peers

from devtools.bench.call_simulation import CallRun, CallSettings
from piershore.core.fleet.endpoint import Address, EndpointStage
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.platform.engine_mover import EngineMover
from piershore.platform.engine_prober import EngineProber
from standins.published_endpoint import Silence

SEEDS = range(4)
CALLS = 20
PROPAGATION_SECONDS = 2.0
"""No gateway sends new work to a leaving endpoint after this time."""
LEAVING_HEADER = "server-leaving"
IDLE_SECONDS = 1.0
SETTLE_SECONDS = 3.0
"""Timeout of waits for conditions that usually take some ms."""
LONG_EVENTS = 150
SHORT = "100,20"


@given("{gateways:d} gateways before {endpoints:d} endpoints of a plain service")
def given_plain(context, gateways, endpoints):
    context.sizes = {"gateways": gateways, "endpoints": endpoints}


def play_runs(context, **settings):
    context.runs = [
        CallRun(CallSettings(**context.sizes, **settings), seed) for seed in SEEDS
    ]
    for run in context.runs:
        run.run()


@when("for 9 seconds one announces in its answers that it leaves")
def play_leaving(context):
    play_runs(context, leaves=True)


@then(
    "no call that came {seconds:g} s after such an answer is sent there by the same"
    " gateway"
)
def check_late_calls(context, seconds):
    late = [len(list(run.late_arrivals(seconds))) for run in context.runs]
    assert not any(late), late


async def call_until_leaving(world, number):
    """Send calls until an answer announces that its endpoint leaves."""
    while LEAVING_HEADER not in (await world.call("once", number=number)).headers:
        pass


async def calls_reaching(world, endpoint, number):
    """Send calls to a gateway, and return how many reach an endpoint."""
    before = len(endpoint.arrivals)
    for _ in range(CALLS):
        await world.call("once", number=number)
    return len(endpoint.arrivals) - before


@when("an endpoint of the desk announces in its answers that it leaves")
def announce_leaving(context):
    async def script(world):
        await wait_for_peers(world)
        endpoint = world.endpoints[0]
        endpoint.tells_leaving = True
        await call_until_leaving(world, 0)
        context.reached = [await calls_reaching(world, endpoint, 0)]
        await trio.sleep(PROPAGATION_SECONDS)
        context.reached.append(await calls_reaching(world, endpoint, 1))

    context.ingress.run(script)


@then("the gateway that received such an answer sends nothing more there")
def check_own(context):
    assert context.reached[0] == 0, context.reached


@then("{seconds:g} s later the other gateway sends nothing there, either")
def check_other(context, seconds):
    assert context.reached[1] == 0, context.reached


async def wait_until(condition):
    """Wait for a condition, for `SETTLE_SECONDS` at most."""
    with trio.move_on_after(SETTLE_SECONDS):
        while not condition():
            await trio.sleep(0.01)


async def by_call(world, fault):
    """Let each endpoint of the desk announce it, with a fault in its next answer."""
    for endpoint in world.endpoints[:3]:
        endpoint.tells_leaving = True
        endpoint.faults = [fault] if fault else []
    await world.call("once")
    return next(e for e in world.endpoints[:3] if e.arrivals)


async def by_stream(world):
    for engine in world.endpoints[3:]:
        engine.tells_leaving = True
    await world.call("stream", size=SHORT)
    return next(e for e in world.endpoints[3:] if e.arrivals)


async def by_report(world, engine=None):
    engine = engine or world.endpoints[3]
    engine.tells_leaving = True
    endpoint = known_endpoint(world, engine)
    async with state_of(world).pool.borrow(endpoint, IDLE_SECONDS) as connection:
        await EngineProber().probe(connection, endpoint.address)
    return engine


async def by_move(world):
    engine, target = world.endpoints[3:]
    engine.tells_leaving = True
    endpoint = known_endpoint(world, engine)
    async with state_of(world).pool.borrow(endpoint, IDLE_SECONDS) as connection:
        await EngineMover().move(connection, endpoint.address, "none", target.address)
    return engine


async def by_stop(world):
    engine, target = world.endpoints[3:]
    engine.tells_leaving = True
    endpoint, mover = known_endpoint(world, engine), EngineMover()
    async with state_of(world).pool.borrow(endpoint, IDLE_SECONDS) as connection:
        source = endpoint.address
        await mover.send_stop(connection, source, "none", target.address)
        await mover.read_stop_result(connection, source)
    return engine


ANNOUNCEMENTS = {
    "a call's success": lambda world: by_call(world, ""),
    "a call's failure": lambda world: by_call(world, "fails"),
    "a call's refusal, not run": lambda world: by_call(world, "not run"),
    "a call's refusal, unproven": lambda world: by_call(world, "503 without proof"),
    "the head of a stream": by_stream,
    "a report": by_report,
    "an answer to a move": by_move,
    "an answer to a stop": by_stop,
}


@given("1 gateway before healthy endpoints")
def given_one(context):
    context.execute_steps("Given a gateway before healthy endpoints")


@when("an endpoint announces that it leaves in {answer}")
def announce_in(context, answer):
    async def script(world):
        endpoint = await ANNOUNCEMENTS[answer](world)
        context.is_leaving = state_of(world).directory.is_leaving(endpoint.identity)

    context.ingress.run(script)


@then("the gateway marks it as leaving")
def check_leaving(context):
    assert context.is_leaving


async def rewrite_entry(world, standin):
    other = replace(known_endpoint(world, standin), data_hall="lekki")
    standin.data_hall = other.data_hall
    world.list_endpoint(standin)
    await wait_until(
        lambda: known_endpoint(world, standin).data_hall == other.data_hall
    )
    assert known_endpoint(world, standin).data_hall == other.data_hall


async def reread_list(world, standin):
    follower = world.gateways[0][1]._endpoints
    follower.restart()
    await wait_until(lambda: follower._revision is not None)
    assert follower._revision is not None


async def receive_ready_from_peer(world, standin):
    directory = state_of(world).directory
    listed = [replace(e, stage=EndpointStage.READY) for e in directory]
    follower = world.gateways[0][1]._endpoints
    follower.apply_from_peer(listed, directory.revision + 1)


async def remove_and_add_entry(world, standin):
    world.store.remove("servers", standin.identity)
    await wait_until(lambda: known_endpoint(world, standin) is None)
    world.list_endpoint(standin)
    await wait_until(lambda: known_endpoint(world, standin) is not None)
    assert known_endpoint(world, standin) is not None


LATER_UPDATES = {
    "its entry is written again as ready": rewrite_entry,
    "the store's list is read again": reread_list,
    "a peer's list has it as ready": receive_ready_from_peer,
    "its entry is removed and added again": remove_and_add_entry,
}


@when("an endpoint has announced that it leaves, and then {update}")
def announce_then(context, update):
    async def script(world):
        endpoint = await by_call(world, "")
        await LATER_UPDATES[update](world, endpoint)
        context.is_leaving = state_of(world).directory.is_leaving(endpoint.identity)

    context.ingress.run(script)


@when("another endpoint answers at an address with 421 and announces that it leaves")
def answer_elsewhere(context):
    async def script(world):
        other = world.endpoints[0]
        other.tells_leaving = True
        stale = replace(known_endpoint(world, other), name="i-before")
        directory = state_of(world).directory
        directory.put(stale)
        for standin in world.endpoints[1:3]:
            directory.remove(standin.identity, trio.current_time(), after_outage=False)
        directory.remove(other.identity, trio.current_time(), after_outage=False)
        await world.call("once")
        directory.put(replace(stale, name=other.identity))
        context.is_marked = directory.is_leaving(other.identity)
        assert directory.is_leaving("i-before")

    context.ingress.run(script)


@then("the gateway still has that other endpoint as ready")
def check_other_ready(context):
    assert not context.is_marked


@when("its engine announces that it leaves in the answer to a probe")
def announce_during_stream(context):
    async def script(world):
        context.reading = StreamReading(world, LONG_EVENTS, SMALL_SIZE)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.reading.read)
            await context.reading.wait_for_events(10)
            engine = context.reading.running_endpoint()
            await by_report(world, engine)
        context.engine = engine

    context.ingress.run(script)


@then("the stream is moved and delivered completely")
def check_moved(context):
    reply = context.reading.reply
    assert reply.is_whole
    assert reply.events == list(range(1, LONG_EVENTS + 1))
    others = [e for e in context.ingress.endpoints if e is not context.engine]
    assert sum(e.continued["abc"] for e in others) == 1


@when("an engine's stream falls silent, and its report says that it leaves")
def report_during_silence(context):
    async def script(world):
        reading = StreamReading(world, LONG_EVENTS, SMALL_SIZE)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reading.read)
            await reading.wait_for_events(10)
            engine = reading.running_endpoint()
            engine.state = "draining"
            engine.silence = Silence.PAUSED
            directory = state_of(world).directory
            await wait_until(lambda: directory.is_leaving(engine.identity))
            context.is_leaving = directory.is_leaving(engine.identity)
            nursery.cancel_scope.cancel()

    context.ingress.run(script)


@when("all endpoints of the desk have announced that they leave")
def announce_all(context):
    async def script(world):
        for endpoint in world.endpoints[:3]:
            endpoint.tells_leaving = True
        directory = state_of(world).directory
        while directory.of_service("desk"):
            await world.call("once")
        started = trio.current_time()
        context.reply = await world.call("once")
        context.seconds = trio.current_time() - started

    context.ingress.run(script)


@then("a call is refused within {seconds:g} s with 503 and a Retry-After header")
def check_refused(context, seconds):
    assert context.reply.status == 503, vars(context.reply)
    assert float(context.reply.headers["retry-after"]) > 0
    assert context.seconds < seconds, context.seconds


@then("an endpoint that a peer reported as leaving is so from its first entry on")
def check_early_report(context):
    directory = EndpointDirectory()
    endpoint = next(iter(fleet_of(1)))
    assert directory.mark_leaving(endpoint.identity) == []
    directory.put(endpoint)
    assert directory.is_leaving(endpoint.identity)
    assert directory.of_service(endpoint.service) == ()
    later = replace(endpoint, born=2, address=Address("10.0.0.9", 9))
    directory.put(later)
    assert directory.of_service(endpoint.service) == (later,)
