"""Steps for endpoints that differ in speed."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import replace
from statistics import mean
from types import SimpleNamespace

import orjson
import trio
from behave import given, then, when
from support.core_checks import ENGINE, fleet_of
from support.placements import placement_over
from trio.testing import MockClock

from devtools.bench.fleet_experiment import FleetFigures, measure_run, UNEVEN_FLEET
from devtools.bench.fleet_settings import EVEN
from devtools.bench.fleet_simulation import FleetRun
from piershore.core.fleet.caller_aims import CallerAims
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.endpoint_speeds import EndpointSpeeds, VIEW_SECONDS
from piershore.core.fleet.fleet_load import FleetLoad
from piershore.core.fleet.generation_work import GenerationSize, GenerationWork
from piershore.core.fleet.length_estimate import LengthEstimate
from piershore.core.fleet.peer_report import InvalidReportError
from piershore.core.fleet.report_timing import report_interval
from piershore.core.fleet.speed_estimate import OwnTime
from piershore.core.fleet.speed_report import ReportedSpeed, SpeedReport
from piershore.core.fleet.subsetting import EndpointSubsets
from piershore.core.mechanism import Mechanism
from piershore.core.streams.reader_progress import ReaderProgress
from piershore.ingress.peers.speed_reporter import SpeedReporter
from piershore.ingress.streams.stream_relay import StreamRelay
from piershore.telemetry import ingress_metrics
from piershore.telemetry.endpoint_speed_review import review_endpoint_speeds
from piershore.telemetry.request_timeline import read_lines

SEED = 27
SERVICE = "model"
EVENT_TOKENS = 4
OBSERVED_SECONDS = 3.0
AIMS = CallerAims(first_seconds=1.8, longest_pause=0.18)
LONG = GenerationSize(3_000, 800), LengthEstimate.exactly(744)
SHORT = GenerationSize(500, 12), LengthEstimate.exactly(12)


@given("{gateways:d} gateways before {engines:d} engines that differ in speed")
def given_uneven_fleet(context, gateways, engines):
    context.settings = replace(
        UNEVEN_FLEET,
        gateways=gateways,
        engines=engines,
        rate=float(engines),
        report_interval=report_interval(gateways - 1),
        learns_speeds=True,
    )


@given(
    "{gateways:d} gateways before {engines:d} engines of one speed, slow at times by a "
    "factor of {slow:g}"
)
def given_even_fleet(context, gateways, engines, slow):
    given_uneven_fleet(context, gateways, engines)
    speeds = replace(EVEN, slow_factor=slow)
    context.settings = replace(context.settings, speeds=speeds)


@given("{load:g} times their usual load, by seed {seed:d}")
def given_load(context, load, seed):
    context.seed = seed
    rate = load * context.settings.rate
    context.settings = replace(context.settings, rate=rate)


@given("a sixth of the engines is replaced every {seconds:g} s")
def given_replacement(context, seconds):
    interval = 6 * seconds / context.settings.engines
    context.settings = replace(context.settings, reclaim_every=interval)


@given("their views are up to a second old on average, and starts aren't told")
def given_aged_views(context):
    context.settings = replace(
        context.settings, report_interval=2.0, tells_starts=False
    )


@when("they serve for {seconds:d} seconds, with speeds and without")
def serve_twice(context, seconds):
    context.fleets = []
    for learns in (True, False):
        settings = replace(context.settings, learns_speeds=learns)
        seed = getattr(context, "seed", SEED)
        fleet = FleetRun(settings.lasting(float(seconds)), seed)
        fleet.run()
        context.fleets.append(fleet)


@then("95 of 100 long streams come in time, and 95 of 100 short ones")
def check_in_time(context):
    figures = measure_run(context.fleet)
    assert min(figures.in_aim, figures.short_in_aim) >= 0.95, figures


@then(
    "with speeds at most half as many long streams come late after the first "
    "{seconds:d} seconds"
)
def check_fewer_late(context, seconds):
    for fleet in context.fleets:
        fleet.streams = [s for s in fleet.streams if s.arrived_at >= seconds]
    learned, unknown = (
        1.0 - figures.in_aim - figures.lost
        for figures in map(measure_run, context.fleets)
    )
    assert learned <= unknown / 2, (learned, unknown)


@then("long streams run at the faster engines, and each engine still gets work")
def check_shares(context):
    long = [s for s in context.streams if s.work.size.max_output_tokens > 1_000]
    even_share = 1 / 3
    slow_share = mean(stream.engine.speed < 1 for stream in long)
    assert slow_share < even_share / 2, slow_share
    used = {stream.engine.endpoint.identity for stream in context.streams}
    assert len(used) == context.settings.engines


@then("with speeds more streams come in time, and first tokens don't take longer")
def check_aged_views(context):
    learned, unknown = map(measure_run, context.fleets)
    assert _in_time(learned) > _in_time(unknown), (learned, unknown)
    assert learned.first_p90 <= unknown.first_p90, (learned, unknown)


def _in_time(figures: FleetFigures) -> float:
    return figures.in_aim + figures.short_in_aim


@then("every generation runs at the same engine at the same time")
def check_equal(context):
    learned, unknown = (
        [
            (s.engine and s.engine.endpoint.identity, s.first_at, s.last_at)
            for s in fleet.streams
        ]
        for fleet in context.fleets
    )
    assert learned == unknown
    gateways = context.fleets[0]._gateways
    assert any(list(g.speeds.observed_times(SERVICE)) for g in gateways)


def observe(
    speeds,
    identity,
    milliseconds,
    gaps,
    start=0.0,
    *,
    service=SERVICE,
    has_pending_prompts=False,
):
    """Record gaps of a stream, each as a factor of its usual ones."""
    now = start
    for factor in gaps:
        gap = EVENT_TOKENS * factor * milliseconds / 1_000
        now += gap
        speeds.record_gap(
            identity, service, gap, EVENT_TOKENS, now, lambda: has_pending_prompts
        )
    return now


def steady_gaps(milliseconds, seconds=OBSERVED_SECONDS):
    return [1.0] * int(seconds * 1_000 / (EVENT_TOKENS * milliseconds))


def observed_speeds(milliseconds):
    speeds = EndpointSpeeds()
    for number, each in enumerate(milliseconds):
        observe(speeds, f"i-{number}", each, steady_gaps(each))
    return speeds


@given("endpoints that take {slow:g}, {middle:g} and {fast:g} ms for a token")
def given_endpoints(context, slow, middle, fast):
    context.milliseconds = (slow, middle, fast)
    context.speeds = observed_speeds(context.milliseconds)
    context.now = OBSERVED_SECONDS


@when("streams of all endpoints have {situation}")
def observe_situation(context, situation):
    context.speeds = EndpointSpeeds()
    for number, each in enumerate(context.milliseconds):
        gaps = steady_gaps(each)
        moment = int(600 / (2.5 * EVENT_TOKENS * each))
        if situation == "0.6 s in which they are slow":
            gaps = gaps[:-moment] + [2.5] * moment
        elif situation == "prompts between half the tokens":
            gaps[::2] = [2.1] * len(gaps[::2])
        elif situation == "had too few tokens":
            gaps = gaps[:6]
        observe(context.speeds, f"i-{number}", each, gaps)


@when("nothing is observed for {seconds:g} seconds")
def wait(context, seconds):
    context.now += seconds


def slowness(context, number):
    context.speeds.of_service(SERVICE, context.now)
    return context.speeds.slowness(f"i-{number}", SERVICE)


@then(
    "the slow endpoint is thought {slow:g} times as slow as the median, the fast one "
    "{fast:g}"
)
def check_slowness(context, slow, fast):
    found = slowness(context, 0), slowness(context, 2)
    assert abs(found[0] - slow) < 0.05 and abs(found[1] - fast) < 0.05, found


@then("the slow endpoint is thought at most {most:g} times as slow as the median")
def check_decayed(context, most):
    assert 1.0 < slowness(context, 0) <= most, slowness(context, 0)


@then("all endpoints are thought equal")
def check_all_equal(context):
    assert {slowness(context, number) for number in range(3)} == {1.0}


@when("another one takes 12 ms, and 25 ms beside prompts, which it always reads")
def observe_prompts(context):
    gaps = steady_gaps(25)
    observe(context.speeds, "i-3", 25, gaps, has_pending_prompts=True)


@when("another one takes 30 ms for its first 0.9 seconds")
def observe_slow_moment(context):
    gaps = steady_gaps(30, seconds=0.9)
    observe(context.speeds, "i-3", 30, gaps, start=OBSERVED_SECONDS - 1.0)


@then("all endpoints are thought equal, the other one too")
def check_other_equal(context):
    assert {slowness(context, number) for number in range(4)} == {1.0}


@when("a peer reports negative, infinite, zero and absurd times for them")
def report_absurd(context):
    for value in (-1.0, float("inf"), float("nan"), 0.0, 1e-9, 7e9):
        for number in range(3):
            time = OwnTime(value, 64, context.now)
            assert not context.speeds.apply_report("peer", f"i-{number}", SERVICE, time)
    for number in range(3):
        time = OwnTime(0.9, 64, context.now)
        assert context.speeds.apply_report("peer", f"i-{number}", SERVICE, time)


@when("a peer reports {wrong:g} ms for a new endpoint, and two others {right:g} ms")
def report_wrong(context, wrong, right):
    reports = {"peer-0": wrong, "peer-1": right, "peer-2": right}
    for peer, milliseconds in reports.items():
        time = OwnTime(milliseconds / 1_000, 64, context.now)
        context.speeds.apply_report(peer, "i-3", SERVICE, time)


@then("the new endpoint is thought at most {most:g} times as slow as the median")
def check_new(context, most):
    assert slowness(context, 3) <= most


@then("the fast one is still thought {fast:g} times as slow")
def check_fast(context, fast):
    assert abs(slowness(context, 2) - fast) < 0.05, slowness(context, 2)


@when("the slow endpoint restarts")
def restart(context):
    assert slowness(context, 0) > 1.5
    context.speeds.forget("i-0")
    observe(context.speeds, "i-3", 12, [1.0] * 6, start=context.now - 1.0)
    context.now += VIEW_SECONDS


@then("its new incarnation counts as a median one, and the old one is forgotten")
def check_restarted(context):
    assert slowness(context, 3) == slowness(context, 0) == 1.0
    assert context.speeds.slowness("i-2", SERVICE) < 1.0


@given("a slow engine that is empty, and a fast one in use")
def given_two_engines(context):
    context.directory, context.loads = EndpointDirectory(), FleetLoad()
    for listed in fleet_of(2):
        context.directory.put(listed)
    speeds = context.speeds = EndpointSpeeds()
    # At the slow engine one gap in 20 is beside a prompt in a moment of slowness.
    gaps = ([1.0] * 16 + [2.0] * 3 + [5.0]) * 15
    observe(speeds, "i-0", 13.0, gaps)
    observe(speeds, "i-1", 5.0, gaps)
    set_load(context, EndpointLoad(10, 16_000, 20_000, 0))


def set_load(context, load):
    context.loads.apply_report("peer", {"i-1": load}, 0.0)


def chosen(context, kind, **options):
    placement = placement_over(
        context.directory, context.loads, speeds=context.speeds, **options
    )
    work = GenerationWork(*kind)
    choice = placement.for_generation(SERVICE, work, ENGINE, 4.0, aims=AIMS)
    return choice.endpoint.identity


@then("a long generation goes to the fast engine, and a short one to the slow one")
def check_kinds(context):
    assert chosen(context, LONG) == "i-1"
    assert chosen(context, SHORT) == "i-0"


@then("a long one goes to the slow engine when the fast one has no memory")
def check_full(context):
    set_load(context, EndpointLoad(12, 33_000, 38_000, 0))
    assert chosen(context, LONG) == "i-0"
    set_load(context, EndpointLoad(10, 16_000, 20_000, 0))


@then("also when {streams:d} streams at the slow engine would pause beside its prompt")
def check_full_beside_streams(context, streams):
    slow = EndpointLoad(streams, streams * 1_200, streams * 1_500, 0)
    full = EndpointLoad(12, 33_000, 38_000, 0)
    context.loads.apply_report("peer", {"i-0": slow, "i-1": full}, 0.0)
    assert chosen(context, LONG) == "i-0"
    context.loads.apply_report("peer", {}, 0.0)
    set_load(context, EndpointLoad(10, 16_000, 20_000, 0))


@given("a caller that blocks {seconds:g} s at each {count:d} events of 40 ms")
def given_blocking_caller(context, seconds, count):
    context.sent, context.disabled = 0, frozenset()

    async def send_chunk(data):
        context.sent += 1
        if context.sent % count == 0:
            await trio.sleep(seconds)

    context.connection = SimpleNamespace(response_started=True, send_chunk=send_chunk)
    context.directory = EndpointDirectory()
    (context.endpoint,) = fleet_of(1)
    context.directory.put(context.endpoint)


class RelayedStream:
    """A stream that keeps the times which the relay reads."""

    is_given_up, given_up_run, handover = False, None, None
    endpoint_first_event_at = float("inf")

    def __init__(self, connection, nursery):
        self.work = SimpleNamespace(has_begun=True)
        self.exchange = SimpleNamespace(connection=connection, nursery=nursery)
        self.delivered = SimpleNamespace(filter_new=list)
        self.reader = ReaderProgress()

    def record_events(self, count, now, tokens):
        self.last_event_at = now
        self.endpoint_first_event_at = min(now, self.endpoint_first_event_at)


class RelayedAttempt:
    """An attempt whose answer comes over a memory channel."""

    is_framed = True

    def __init__(self, endpoint, receiver):
        self.endpoint = endpoint
        self.read_chunks = receiver.__aiter__
        self.close = receiver.aclose
        self._receiver = receiver

    @property
    def has_unread_bytes(self):
        return self._receiver.statistics().current_buffer_used > 0

    async def was_cut_by_crash(self):
        return False


@given("the mechanism is disabled")
def disable(context):
    context.disabled = frozenset({Mechanism.ENDPOINT_SPEEDS})


@given("its endpoint has departed")
def depart(context):
    context.directory = EndpointDirectory()


@when("its stream of {count:d} events is relayed")
def relay_stream(context, count):
    context.gaps = []
    state = SimpleNamespace(
        is_enabled=lambda mechanism: mechanism not in context.disabled,
        directory=context.directory,
        paces=SimpleNamespace(record_chunk=lambda *values: None),
        stalls=SimpleNamespace(record_chunk=lambda *values: None),
        speeds=SimpleNamespace(
            record_gap=lambda identity, service, gap, *_: context.gaps.append(gap)
        ),
    )
    sender, receiver = trio.open_memory_channel(count)

    async def serve():
        async with sender:
            for number in range(count):
                await trio.sleep(0.04)
                await sender.send(b"id: %d\ndata: x\n\n" % number)

    async def run():
        attempt = RelayedAttempt(context.endpoint, receiver)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            stream = RelayedStream(context.connection, nursery)
            await StreamRelay(state, stream).run(attempt)

    trio.run(run, clock=MockClock(autojump_threshold=0))
    assert context.sent


@then("no gaps are recorded for its endpoint")
def check_no_gaps(context):
    assert not context.gaps, context.gaps


@then(
    "at least {count:d} gaps are recorded for its endpoint, none below "
    "{milliseconds:d} ms"
)
def check_gaps(context, count, milliseconds):
    assert len(context.gaps) >= count, len(context.gaps)
    assert all(gap > milliseconds / 1_001 for gap in context.gaps), context.gaps


@then("without the mechanism all go to the slow engine")
def check_disabled(context):
    disabled = frozenset({Mechanism.ENDPOINT_SPEEDS})
    assert chosen(context, LONG, disabled=disabled) == "i-0"
    assert chosen(context, SHORT, disabled=disabled) == "i-0"


class FakeLink:
    """Hands datagrams to the reporters of other gateways; loses the first ones."""

    incarnation = "life"

    def __init__(self, host):
        self.host, self.reporters = host, {}
        self.lost = self.sent = 0

    def next_number(self):
        return self.sent

    async def send_to(self, host, data):
        self.sent += 1
        if self.sent > self.lost:
            self.reporters[host].apply(data)


def gateway(host, peers, directory, speeds=None):
    """Return the state of a gateway and its reporter."""
    subsets = EndpointSubsets(host, directory)
    subsets.set_peers(peers)
    state = SimpleNamespace(
        speeds=speeds or EndpointSpeeds(),
        directory=directory,
        subsets=subsets,
        log=SimpleNamespace(write=lambda event: None),
    )
    return state, SpeedReporter(state, FakeLink(host))


def add_peer(context, host):
    context.peers[host] = gateway(host, ["self"], context.directory)
    context.link.reporters[host] = context.peers[host][1]
    context.state.subsets.set_peers(context.peers)


@given("a gateway that shares endpoints of {slow:g}, {middle:g} and {fast:g} ms")
def given_sharing_gateway(context, slow, middle, fast):
    context.directory = EndpointDirectory()
    for listed in fleet_of(3):
        context.directory.put(listed)
    speeds = observed_speeds((slow, middle, fast))
    context.state, context.reporter = gateway("self", (), context.directory, speeds)
    context.link, context.peers = context.reporter._link, {}
    context.now = OBSERVED_SECONDS
    for host in ("peer-0", "peer-1"):
        add_peer(context, host)


def report_for(context, seconds):
    """Let the gateway send its reports; no real time passes."""
    clock = MockClock(autojump_threshold=0)
    clock.jump(context.now)

    async def run():
        with trio.move_on_after(seconds):
            await context.reporter.run()

    trio.run(run, clock=clock)
    context.now += seconds


@when("its first {count:d} datagrams are lost")
def lose(context, count):
    context.link.lost = count


@then("its {count:d} peers know all speeds within {seconds:g} second")
def check_told(context, count, seconds):
    report_for(context, seconds)
    assert len(context.peers) == count
    for state, _ in context.peers.values():
        state.speeds.of_service(SERVICE, context.now)
        found = [round(state.speeds.slowness(f"i-{n}", SERVICE), 1) for n in range(3)]
        assert found == [1.7, 1.0, 0.7], found


@when("another peer starts")
def start_peer(context):
    add_peer(context, "peer-2")


@then("it sends no datagrams within {seconds:d} seconds")
def check_nothing_sent(context, seconds):
    before = context.link.sent
    report_for(context, seconds)
    assert context.link.sent == before, context.link.sent - before


@then("it sends no datagrams within {seconds:d} seconds, not even to a new peer")
def check_nothing_sent_to_new(context, seconds):
    add_peer(context, "peer-2")
    check_nothing_sent(context, seconds)


@when("it reports an estimate that is {age:d} seconds old")
def report_old(context, age):
    context.now += age
    report_for(context, 0.3)


@then("a peer takes it for {age:d} seconds old")
def check_age(context, age):
    state, _ = context.peers["peer-0"]
    state.speeds.of_service(SERVICE, context.now)
    time = state.speeds._estimates["i-0"].merged(context.now)
    assert abs(context.now - time.updated_at - age) < 0.5, context.now - time.updated_at


@then(
    "its gauge tells endpoints of {slow:g} and {fast:g}, and after {seconds:d} seconds "
    "of {late_slow:g} and {late_fast:g}"
)
def check_gauge(context, slow, fast, seconds, late_slow, late_fast):
    now = OBSERVED_SECONDS
    speeds = observed_speeds((20, 12, 8))
    _, reporter = gateway("self", (), context.directory, speeds)
    for at, expected in ((now, [slow, fast]), (now + seconds, [late_slow, late_fast])):
        trio.run(reporter._send_due, at)
        found = [gauged(extreme) for extreme in ("slowest", "fastest")]
        assert [round(value, 2) for value in found] == expected, found


def gauged(extreme):
    name = "piershore_ingress_endpoint_slowness"
    labels = {"service": SERVICE, "extreme": extreme}
    return ingress_metrics.REGISTRY.get_sample_value(name, labels)


@when("it observes nothing for {seconds:d} seconds")
def observe_nothing(context, seconds):
    context.now += seconds


@given("a gateway that shares {services:d} services with {endpoints:d} endpoints each")
def given_services(context, services, endpoints):
    context.directory, speeds = EndpointDirectory(), EndpointSpeeds()
    context.services = [f"model-{number}" for number in range(services)]
    (listed,) = fleet_of(1)
    for service in context.services:
        for number in range(endpoints):
            identity = f"{service}-{number}"
            address = replace(listed.address, port=1 + len(context.directory))
            context.directory.put(
                replace(listed, name=identity, service=service, address=address)
            )
            milliseconds = (20, 12, 8)[number % 3]
            gaps = steady_gaps(milliseconds)
            observe(speeds, identity, milliseconds, gaps, service=service)
    context.state, context.reporter = gateway("self", (), context.directory, speeds)
    context.link, context.peers = context.reporter._link, {}
    context.now = OBSERVED_SECONDS
    add_peer(context, "peer-0")


@then(
    "its {count:d} peers know endpoints of {slow:d} and {fast:d} ms in all services "
    "within {seconds:d} second"
)
def check_services_told(context, count, slow, fast, seconds):
    report_for(context, seconds)
    assert len(context.peers) == count
    for state, _ in context.peers.values():
        for service in context.services:
            view = state.speeds.of_service(service, context.now)
            assert len(view.slowness) == len(context.directory.of_service(service))
            ratio = max(view.slowness.values()) / min(view.slowness.values())
            assert abs(ratio - slow / fast) < 0.1, ratio


@when(
    "a peer reports {milliseconds:d} ms for the slow endpoint, and leaves for "
    "{seconds:d} seconds"
)
def report_and_leave(context, milliseconds, seconds):
    time = OwnTime(milliseconds / 1_000, 64, context.now)
    context.speeds.apply_report("peer", "i-0", SERVICE, time)
    context.now += seconds
    for number, each in enumerate(context.milliseconds):
        start = context.now - OBSERVED_SECONDS
        observe(context.speeds, f"i-{number}", each, steady_gaps(each), start)


@then("the slow endpoint is observed here, and has no reporters")
def check_no_reporters(context):
    assert slowness(context, 0) > 1.5
    assert context.speeds.reporters("i-0") == 0


MALFORMED_REPORTS = (
    b"~{}",
    b'~["self","l",3,[["i-0","20000",64,0.0]]]',
    b'~["self","l",3,[["i-0",20000,"64",0.0]]]',
    b'~["self","l",3,[["i-0",20000,64.5,0.0]]]',
    b'~["self","l",3,[["i-0",20000,64,-1]]]',
    b'~["self","l",3,[["i-0",NaN,64,0.0]]]',
    b'~["self","l","3",[["i-0",20000,64,0.0]]]',
    b'~["self","l",true,[["i-0",20000,64,0.0]]]',
    SpeedReport("self", "l", 3, (ReportedSpeed("i-0", 0.02, 64),) * 65).encode(),
)
BAD_REPORTS = {
    "unknown_peer": SpeedReport("x", "l", 1, ()).encode(),
    "unknown_endpoint": SpeedReport(
        "self", "l", 1, (ReportedSpeed("x", 0.1, 9),)
    ).encode(),
    "implausible": SpeedReport(
        "self", "l", 2, (ReportedSpeed("i-0", 7.0, 9),)
    ).encode(),
}


@then("a peer drops reports that are wrong in any way, and counts them by reason")
def check_bad_reports(context):
    state, reporter = context.peers["peer-0"]

    async def apply(data):
        with suppress(InvalidReportError):
            reporter.apply(data)

    bad = [("undecodable", data) for data in MALFORMED_REPORTS]
    for reason, data in [*bad, *BAD_REPORTS.items()]:
        before = rejected(reason)
        trio.run(apply, data)
        assert rejected(reason) == before + 1, (reason, data)
        assert not state.speeds._estimates, data


def rejected(reason):
    name = "piershore_ingress_rejected_speeds_total"
    return ingress_metrics.REGISTRY.get_sample_value(name, {"reason": reason}) or 0


@then("a report of {count:d} endpoints takes at most {most:d} bytes")
def check_size(context, count, most):
    speeds = tuple(
        ReportedSpeed(f"i-{number:010x}@1790000000000", 0.0123, 64)
        for number in range(count)
    )
    data = SpeedReport("10.250.250.250", "0123456789ab", 10**9, speeds).encode()
    assert len(data) <= most, len(data)


def speed_line(box, endpoint, token_seconds):
    fields = {"service": SERVICE, "token_seconds": token_seconds, "slowness": 1.0}
    return orjson.dumps(
        {
            "time": "2026-01-01T00:00:00+00:00",
            "box": box,
            "event": "endpoint_speed_learned",
            "endpoint": endpoint,
            **fields,
        }
    )


@then("`beliefs --speeds` lists endpoints of 20 and 8 ms from logs of 2 gateways")
def check_listed(context):
    texts = [
        speed_line(box, endpoint, seconds)
        for endpoint, seconds in (("i-0", 0.008), ("i-1", 0.02))
        for box in ("front-1", "front-2")
    ]
    rows = review_endpoint_speeds(read_lines(texts))
    found = [(row["endpoint"], row["token_ms"], row["gateways"]) for row in rows]
    assert found == [("i-1", 20.0, 2), ("i-0", 8.0, 2)], found


@then("a generation counts as placed unknown only if the slowness wasn't known")
def check_placed_unknown(context):
    attempts = [
        orjson.dumps(
            {
                "time": "2026-01-01T00:00:00+00:00",
                "box": "front-1",
                "event": "attempt_started",
                "endpoint": "i-0",
                "expected_tokens": 100,
                "slowness": slowness,
            }
        )
        for slowness in (1.0, 1.0, None, 1.6)
    ]
    rows = review_endpoint_speeds(
        read_lines([speed_line("front-1", "i-0", 0.012), *attempts])
    )
    assert [(r["generations"], r["placed_unknown"]) for r in rows] == [(4, 1)], rows
