"""Steps for generations that wait for memory, and for callers that return."""

from __future__ import annotations

import json
from dataclasses import replace
from math import inf
from random import Random
from statistics import mean

import trio
from behave import given, then, when
from hypothesis import strategies as st
from support.core_checks import check_coded_errors, checked, ENGINE
from support.stream_reading import StreamReading, wait_for_peers

from devtools.bench.fleet_settings import FleetSettings, WorkMix
from devtools.bench.fleet_simulation import FleetRun
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.generation_admission import has_memory_in_order
from piershore.core.fleet.generation_work import GenerationSize, GenerationWork
from piershore.core.fleet.length_estimate import LengthEstimate
from piershore.core.fleet.placement_policy import DEFAULT_PLACEMENT
from piershore.core.waiting.memory_forecast import MemoryForecast
from piershore.core.waiting.peer_waiting import REPORT_EXPIRY_SECONDS
from piershore.core.waiting.waiter import Waiter
from piershore.core.waiting.waiting_decision import WaitingAction
from piershore.core.waiting.waiting_queue import MAX_YIELD_SECONDS, WaitingQueue
from piershore.core.waiting.waiting_report import WAITING_PREFIX, WaitingReport

SEED = 68
SERVICE = "model"
START, WAIT, REFUSE = WaitingAction.START, WaitingAction.WAIT, WaitingAction.REFUSE
FIRST_AIM, DEADLINE = 4.0, 39.0
PROMPT, TOKENS, SECONDS = 3_000, 3_750, 9.0
EMPTY = EndpointLoad()
FULL_ENGINE = EndpointLoad(8, 27_600, 34_000)
FULL = (FULL_ENGINE,) * 10
ROOM_FOR_ONE = (EndpointLoad(7, 23_000, 30_000), *FULL[1:])
HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


def waiter(name, now=0.0, priority=2, **changed):
    known = Waiter(
        name,
        f"content-{name}",
        SERVICE,
        priority,
        PROMPT,
        TOKENS,
        is_light=False,
        arrived=now,
        start_until=now + 3.0,
        complete_until=now + DEADLINE - SECONDS,
        deadline=now + DEADLINE,
        target_latency=FIRST_AIM,
    )
    return replace(known, **changed)


def forecast(*loads):
    return MemoryForecast(loads, ENGINE, PROMPT, TOKENS, SECONDS)


def decide(queue, one, now, loads, fits=None):
    view = forecast(*loads)
    if fits is None:
        fits = bool(view.free_tokens)
    return queue.decide(one, view, now, fits=fits)


def exchange_reports(queues, now):
    """Send each queue's report to the others, as a datagram."""
    number = round(now * 1_000)
    reports = [queue.report("life", number, now) for queue in queues]
    for sender, report in zip(queues, reports, strict=True):
        for queue in queues:
            if queue is not sender:
                queue.apply_report(WaitingReport.decode(report.encode()), now)


@given(
    "{gateways:d} gateways before {engines:d} engines, and long generations that burst "
    "for {seconds:g} s"
)
def given_burst(context, gateways, engines, seconds):
    context.settings = FleetSettings(
        DEFAULT_PLACEMENT,
        seconds=0.0,
        gateways=gateways,
        engines=engines,
        rate=26.0,
        report_interval=gateways / 60,
        callers_a_gateway=1.4,
        work=WorkMix(9 / 26, 560, 2_000, 0.8, 27_000),
        reclaim_every=3.3,
        reclaim_count=engines // 6 + 1,
        first_aim=FIRST_AIM,
        deadline=DEADLINE,
        long_burst=(6.0, 6.0 + seconds, 2.6),
        anywhere=True,
        prioritized=True,
        orders=True,
    )


def long_ones(context):
    return [s for s in context.streams if s.work.size.max_output_tokens > 1_000]


@then("at most {count:d} of 100 long generations are refused again after they returned")
def check_second_refusals(context, count):
    share = 100 * mean(s.refusals > 1 for s in long_ones(context))
    assert share <= count, share


@then(
    "at least {count:d} of 100 long ones start in time, at first or from their return"
)
def check_in_time(context, count):
    share = 100 * mean(
        s.first_at is not None and s.first_at - s.arrived_at <= FIRST_AIM
        for s in long_ones(context)
    )
    assert share >= count, share


@then("long and short ones are answered about equally often")
def check_both_answered(context):
    kinds = {}
    for stream in context.streams:
        kinds.setdefault(stream.work.size.max_output_tokens, []).append(stream.is_whole)
    shares = [mean(kind) for kind in kinds.values()]
    assert max(shares) - min(shares) <= 0.05, shares


def preempted_share(streams):
    started = [s for s in streams if s.engine is not None]
    return mean(s.preemptions > 0 for s in started)


@then("fewer of those that start are preempted than with checks at random")
def check_preempted(context):
    unordered = replace(context.fleet._settings, orders=False, refuses=True, waits=True)
    before = preempted_share(FleetRun(unordered, SEED).run())
    assert preempted_share(context.streams) < before, before


@then("at most 1 of 5 of those that were refused had waited for over {seconds:g} s")
def check_refused_at_once(context, seconds):
    waits = context.fleet.refused_after
    assert waits
    assert mean(wait > seconds for wait in waits) <= 0.2, sorted(waits)[-9:]


@then("generations rank by priority, return, time left and arrival, here and at peers")
def check_order(context):
    order = [
        waiter("urgent", 9.9, 0),
        waiter("returned", 9.8),
        waiter("old", 9.0),
        waiter("new", 9.7),
        waiter("late", 5.0),
        waiter("less urgent", 9.5, 5),
    ]
    for number in range(len(order) * 20):
        random = Random(number)
        queues = [WaitingQueue(host) for host in HOSTS]
        queues[0].promise(order[1], decide(queues[0], order[1], 4.0, FULL), 4.0)
        queues[0].leave(order[1])
        exchange_reports(queues, 4.0)
        placed = {one.identity: random.choice(queues) for one in order}
        for one in random.sample(order, len(order)):
            decide(placed[one.identity], one, 10.0, FULL)
        exchange_reports(queues, 10.0)
        for place, one in enumerate(order):
            found = decide(placed[one.identity], one, 10.0, FULL)
            assert found.tokens_before == place * TOKENS, (one, found)


@then("one of priority {priority:d} goes first once half of its patience has passed")
def check_passed_over(context, priority):
    one, urgent = waiter("one", 0.0, priority), waiter("urgent", 1.4, 0)

    def rank(candidate, now):
        return candidate.rank(now, has_returned=False, host="")

    assert rank(urgent, 1.4) < rank(one, 1.4)
    assert rank(one, 1.6) < rank(urgent, 1.6)


@then("a late one goes first after twice its target, or before its last call")
def check_late(context):
    one = waiter("one")
    last = replace(one, complete_until=7.0)

    def rank(candidate, now):
        return candidate.rank(now, has_returned=False, host="")

    newcomer = waiter("newcomer", 3.9)
    assert rank(newcomer, 3.9) < rank(one, 3.9)
    assert rank(one, 8.1) < rank(waiter("newcomer", 8.0), 8.1)
    assert rank(last, 4.1) < rank(newcomer, 4.1)


@then("of {count:d} pairs that wait, both start at once in none")
def check_pairs(context, count):
    for number in range(count):
        random = Random(number)
        queues = [WaitingQueue(host) for host in HOSTS[:2]]
        ones = [waiter(host, random.uniform(0, 0.2)) for host in HOSTS[:2]]
        for queue, one in zip(queues, ones, strict=True):
            assert decide(queue, one, 0.3, FULL).action is WAIT
        exchange_reports(queues, 0.3)
        now = 0.4 + random.uniform(0, 0.05)
        results = [
            decide(queue, one, now, ROOM_FOR_ONE).action
            for queue, one in zip(queues, ones, strict=True)
        ]
        assert sorted(results) == [START, WAIT], results


@then("generations start at once, and there is nothing to report")
def check_free(context):
    queue = WaitingQueue(HOSTS[0])
    for number in range(20):
        one = waiter(f"r{number}", priority=number % 4)
        assert decide(queue, one, 0.0, (EMPTY,)).action is START
        queue.leave(one)
    assert queue.report("life", 1, 0.0).is_empty
    assert not queue.has_waiting(SERVICE, 0.0)


@then("one that takes {share:g} of an engine's memory starts at an empty engine")
def check_largest(context, share):
    size = GenerationSize(int(share * ENGINE.memory_tokens), 800)
    work = GenerationWork(size, LengthEstimate.exactly(700))
    assert has_memory_in_order(EMPTY, work, ENGINE)
    assert not has_memory_in_order(EndpointLoad(1, 1, 1), work, ENGINE)


def refused_queues(told):
    """Return queues of two gateways, the first of which has refused a caller."""
    queues = [WaitingQueue(host) for host in HOSTS[:2]]
    one = waiter("one")
    busy = replace(decide(queues[0], one, 0.0, FULL, fits=False), seconds=told)
    assert queues[0].promise(one, busy, 0.0) == told
    queues[0].leave(one)
    exchange_reports(queues, 0.0)
    return queues, one


@then("when it comes back after {seconds:g} s it is {result}")
def check_return(context, seconds, result):
    (_, queue), one = refused_queues(6.0)
    again = waiter("again", seconds, content=one.content)
    newcomer = waiter("newcomer", seconds - 0.2)
    if result.startswith("kept waiting"):
        crowd = [waiter(f"w{number}", seconds - 1.0) for number in range(30)]
        for other in crowd:
            queue._waiters[other.identity] = other
        assert decide(queue, newcomer, seconds, FULL).action is REFUSE
        assert decide(queue, again, seconds, FULL).action is WAIT
        return
    other = decide(queue, newcomer, seconds, ROOM_FOR_ONE)
    found = decide(queue, again, seconds, ROOM_FOR_ONE)
    if result.startswith("started"):
        assert other.action is WAIT, other
        assert found.action is START, found
        assert found.has_returned
        return
    assert not found.has_returned
    assert abs(queue.promise(again, found, seconds) - (6.0 - seconds)) < 1e-6


@then("its promise is reported when it is made, and again 1 s before its time")
def check_promise_reports(context):
    (queue, _), _ = refused_queues(6.0)
    reported = [bool(queue.report("life", 9, now).promises) for now in (0.9, 3.0, 5.1)]
    assert reported == [True, False, True]
    assert abs(queue.seconds_until_report(3.0) - 2.0) < 1e-6
    assert queue.seconds_until_report(5.1) == inf


@then("newcomers leave it free just before its time, and use it when it has lapsed")
def check_reserved(context):
    for now, action in ((1.0, START), (5.9, WAIT), (6.5, WAIT), (7.1, START)):
        for queue in refused_queues(6.0)[0]:
            found = decide(queue, waiter("newcomer", now), now, ROOM_FOR_ONE)
            assert found.action is action, (now, found)
            urgent = waiter("urgent", now, 0)
            assert decide(queue, urgent, now, ROOM_FOR_ONE).action is START


STEP = st.tuples(
    st.sampled_from(("arrive", "check", "send", "refuse")),
    st.integers(0, 2),
    st.integers(0, 5),
    st.booleans(),
)


@then("no generation starts without memory, and no valid promise is forgotten")
def check_random_messages(context):
    @checked(st.lists(STEP, max_size=60), st.integers(0, 99))
    def check(steps, seed):
        random, now = Random(seed), 0.0
        queues = [WaitingQueue(host) for host in HOSTS]
        sent, waiting, told = [], {}, {}
        for number, (kind, place, which, has_room) in enumerate(steps, 1):
            now += 0.05
            queue = queues[place]
            if kind == "send":
                sent.append((queue, queue.report("life", number, now)))
            elif kind == "refuse":
                one = waiter(f"p{place}-{which}", now)
                busy = replace(decide(queue, one, now, FULL, fits=False), seconds=8.0)
                queue.promise(one, busy, now)
                told.setdefault((queue, one.content), now + 8.0)
                queue.leave(one)
            else:
                one = waiting.setdefault((place, which), waiter(f"{place}{which}", now))
                load = ROOM_FOR_ONE if has_room else FULL
                found = decide(queue, one, now, load, fits=has_room)
                assert has_room or found.action is not START
                if found.action is not WAIT:
                    queue.leave(waiting.pop((place, which)))
            for sender, report in random.sample(sent, min(2, len(sent))):
                receiver = random.choice(queues)
                if receiver is not sender:
                    receiver.apply_report(report, now)
            for (queue, content), until in told.items():
                assert queue.promises.find(content) is not None or now > until


@then("its last report holds nobody up for more than {seconds:g} s")
def check_failed_peer(context, seconds):
    assert seconds == REPORT_EXPIRY_SECONDS
    queues = [WaitingQueue(host) for host in HOSTS[:2]]
    for number in range(5):
        decide(queues[0], waiter(f"w{number}", 0.0, 0), 0.0, FULL)
    exchange_reports(queues, 0.0)
    one = waiter("one", 0.1)
    assert decide(queues[1], one, 0.1, ROOM_FOR_ONE).tokens_before == 5 * TOKENS
    found = decide(queues[1], one, seconds + 0.01, ROOM_FOR_ONE)
    assert found.action is START


@then(
    "a generation leaves it to those before it for {seconds:g} s, and longer while they "
    "start"
)
def check_yield(context, seconds):
    assert seconds == MAX_YIELD_SECONDS
    for is_moving, last in ((False, START), (True, WAIT)):
        queue, peer = (WaitingQueue(host) for host in HOSTS[:2])
        others = [waiter(f"w{number}", 0.0, 0) for number in range(3)]
        for other in others:
            decide(peer, other, 0.0, FULL)
        one, found = waiter("one", 0.5), []
        for now in (0.5, 0.7, 0.91):
            exchange_reports([queue, peer], now)
            found.append(decide(queue, one, now, ROOM_FOR_ONE).action)
            if is_moving:
                peer.leave(others.pop())
        assert found == [WAIT, WAIT, last], found


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=12,
)


@then("decoding a waiting report raises only errors with a code")
def check_invalid_reports(context):
    valid = ["h", "life", 1, {SERVICE: [[[2, True, False, 0.1, 9]], []]}, [], ["c"]]
    mutated = st.tuples(st.integers(0, 5), JSON).map(
        lambda change: [*valid[: change[0]], change[1], *valid[change[0] + 1 :]]
    )
    datagrams = st.binary(max_size=40) | (JSON | mutated).map(
        lambda value: json.dumps(value).encode()
    )
    check_coded_errors(WaitingReport.decode, datagrams.map(WAITING_PREFIX.__add__))


@then("a report keeps its content when it is sent, and has at most {size:d} KB")
def check_report_size(context, size):
    queue = WaitingQueue(HOSTS[0])
    for number in range(200):
        one = waiter(f"{number:016x}", number / 1_000, number % 10)
        found = decide(queue, one, number / 1_000, FULL, fits=False)
        if found.action is REFUSE:
            queue.promise(replace(one, content=f"{number:032x}"), found, 0.2)
    report = queue.report("life-0123456", 10**6, 0.3)
    assert WaitingReport.decode(report.encode()) == report
    assert report.services[SERVICE].rest
    assert report.promises
    assert len(report.encode()) <= size * 1_024, len(report.encode())


@then("memory for more generations is free later, and never without load or room")
def check_forecast(context):
    loads = st.builds(
        EndpointLoad, st.integers(0, 20), st.integers(0, 40_000), st.integers(0, 60_000)
    )

    @checked(st.lists(loads, max_size=5), st.integers(0, 200_000))
    def check(known, tokens):
        view = forecast(*known)
        assert view.seconds_until(view.free_tokens) == 0.0
        assert 0.0 <= view.seconds_until(tokens) <= view.seconds_until(tokens + 1_000)

    assert forecast().seconds_until(1) == inf
    assert forecast(EMPTY).free_tokens == 9 * TOKENS


@when("a stream waits at one of 2 gateways, and the other gets a broken report")
def wait_beside_peer(context):
    async def script(world):
        await wait_for_peers(world)
        other = world.gateways[1][1]._state
        async with trio.open_nursery() as nursery:
            outer, world.nursery = world.nursery, nursery
            daemon, _ = await wait_for_memory(world)
            host = world.settings(1).host
            await daemon._peers.send_to(host, WAITING_PREFIX + b"[1]")
            with trio.move_on_after(2):
                while not other.waiting.has_waiting(SERVICE, trio.current_time()):
                    await trio.sleep(0.01)
            context.knew = other.waiting.has_waiting(SERVICE, trio.current_time())
            nursery.cancel_scope.cancel()
        world.nursery = outer
        await trio.sleep(REPORT_EXPIRY_SECONDS)
        context.knows = other.waiting.has_waiting(SERVICE, trio.current_time())
        context.gateways = other.gateway_count

    context.ingress._start_gateways = 2
    context.ingress.run(script)


@then("the other gateway knows that it waits, until it no longer does")
def check_peer_knows(context):
    assert context.knew
    assert not context.knows
    assert context.gateways == 2


async def wait_for_memory(world):
    """Request a stream while the engines are full; return it once it waits."""
    for route in world.configuration["routes"]:
        route["target_latency_ms"] = 8_000
    world.store.put("config", "main", {**world.configuration, "version": 5})
    _, daemon = world.gateways[0]
    state = daemon._state
    while state.configuration.version < 5:
        await trio.sleep(0.01)
    loads = {engine.identity: FULL_ENGINE for engine in world.endpoints}
    state.fleet_load.apply_report("10.0.0.9", loads, trio.current_time())
    reading = StreamReading(world, 200, "100,{}")
    world.nursery.start_soon(reading.read)
    while not len(state.waiting):
        await trio.sleep(0.01)
    return daemon, reading


@when("a stream waits for memory and its caller disconnects")
def disconnect(context):
    async def script(world):
        async with trio.open_nursery() as nursery:
            outer, world.nursery = world.nursery, nursery
            daemon, _ = await wait_for_memory(world)
            nursery.cancel_scope.cancel()
        world.nursery = outer
        await trio.sleep(0.2)
        context.waiting = len(daemon._state.waiting)

    context.ingress.run(script)


@then("nothing waits any more, and nothing has run")
def check_nothing_waits(context):
    assert context.waiting == 0
    assert context.ingress.runs("model") == 0


@when("a stream waits for memory and its gateway is told to stop")
def stop_gateway(context):
    async def script(world):
        daemon, reading = await wait_for_memory(world)
        # Its generation takes longer than the time until the process ends.
        daemon._settings = replace(daemon._settings, stop_grace_seconds=2.0)
        world.nursery.start_soon(daemon.leave)
        with trio.move_on_after(1):
            while reading.reply is None:
                await trio.sleep(0.01)
        context.reading = reading

    context.ingress.run(script)


@then("the stream is refused within 1 s, and has not run")
def check_refused(context):
    reply = context.reading.reply
    assert reply is not None
    assert reply.status == 503
    assert b"leaving" in reply.body, reply.body
    assert context.ingress.runs("model") == 0
