"""Steps for endpoints that advertise a rate limit."""

from __future__ import annotations

import tempfile
from dataclasses import replace
from itertools import pairwise
from pathlib import Path

import orjson
import trio
from backoff_steps import call_while, crash_under_stream, send, SERVICES, standins_of
from behave import then, when
from hypothesis import strategies as st
from notice_steps import SEEDS
from support.core_checks import checked, fleet_of
from support.gateway_states import known_endpoint, state_of
from support.placements import placement_over
from support.stream_reading import wait_for_peers

from devtools.bench.call_simulation import CallRun, CallSettings
from devtools.rate_window import (
    allowed_requests,
    CONTACT_SECONDS,
    most_in_window,
    WINDOW_SECONDS,
)
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_notice import NO_NOTICE, UNRESTRICTED_NOTICE
from piershore.core.fleet.endpoint_rate_limits import (
    EndpointRateLimits,
    fleet_quota,
    PROBE_AFTER_SECONDS,
    RateReport,
    REPORTED_SECONDS,
    UNLIMITED,
)
from piershore.core.fleet.fleet_load import FleetLoad
from piershore.core.fleet.peer_report import InvalidReportError, PeerReport
from piershore.core.fleet.rate_shares import RateShares
from piershore.core.fleet.store_revision import StoreRevision
from piershore.core.fleet.store_silence import StoreLiveness
from piershore.core.fleet.subsetting import EndpointSubsets
from piershore.core.routes.current_configuration import CurrentConfiguration
from piershore.http1.message import ResponseHead
from piershore.platform.headers import PlatformDialect

CALLS_SECONDS = 5.0
CALL_GAP_SECONDS = 0.02
ENDPOINT = next(iter(fleet_of(1)))
IDENTITY = ENDPOINT.identity


@when("one of 3 endpoints advertises a rate limit for 9 seconds")
def play_rates(context):
    context.runs, context.counted = [], []
    for row in context.table:
        rate = float(row["rate"])
        settings = CallSettings(
            gateways=int(row["gateways"]), rate=float(row["load"]), rate_limit=rate
        )
        for seed in SEEDS:
            run = CallRun(settings, seed)
            run.run()
            context.runs.append(run)
            context.counted.append((run.most_at_limited(), allowed_requests(rate)))


@when("an endpoint of the desk advertises {rate:g} requests a second while calls come")
def advertise_rate(context, rate):
    async def script(world):
        await wait_for_peers(world)
        endpoint = world.endpoints[0]
        endpoint.rate_limit = f"{rate:g}"
        context.replies = []
        started = trio.current_time()
        while trio.current_time() < started + CALLS_SECONDS:
            number = len(context.replies) % len(world.gateways)
            context.replies.append(await world.call("once", number=number))
            await trio.sleep(CALL_GAP_SECONDS)
        times = [arrival.at for arrival in endpoint.arrivals]
        maximum = most_in_window(times, started + CONTACT_SECONDS)
        context.counted = [(maximum, allowed_requests(rate))]

    context.ingress.run(script)


@then("gateways that know of the limit never send more than it allows")
def check_rate(context):
    assert all(maximum <= allowed for maximum, allowed in context.counted), (
        context.counted
    )


def limits_of(gateways):
    """Return each gateway's `EndpointRateLimits`, in a fleet with one endpoint."""
    directory = EndpointDirectory()
    for listed in fleet_of(1):
        directory.put(listed)
    hosts = [f"10.0.{n // 250}.{n % 250}" for n in range(gateways)]
    views = []
    for host in hosts:
        subsets = EndpointSubsets(host, directory)
        subsets.set_peers(hosts)
        shares = RateShares(host, subsets, CurrentConfiguration())
        views.append(EndpointRateLimits(shares))
    return views


@then("in any 4 s they send at most 4 times the rate, however many they are")
def check_sum(context):
    @checked(
        st.floats(0.25, 200),
        st.integers(1, 80),
        st.lists(st.floats(0, 0.05), min_size=100, max_size=400),
        examples=60,
    )
    def check(rate, gateways, gaps):
        views = limits_of(gateways)
        for view in views:
            view.record_answer(IDENTITY, rate, 0.0)
        now, sent = 0.0, []
        for number, gap in enumerate(gaps):
            now += gap
            if views[number % gateways].claim(ENDPOINT, now):
                sent.append(now)
        maximum = most_in_window(sent, 0.0)
        assert maximum <= WINDOW_SECONDS * rate, (maximum, rate)


@then("each of them has a quota if there are enough requests")
def check_quotas(context):
    @checked(st.floats(0.01, 500), st.integers(1, 500))
    def check(rate, gateways):
        quota = fleet_quota(rate, gateways)
        assert quota.requests >= gateways or quota.window >= WINDOW_SECONDS
        assert quota.requests <= max(1, rate * quota.window)


@then("no span of 4 s has more requests than allowed while single gateways come and go")
def check_membership(context):
    @checked(
        st.floats(0.3, 60),
        st.lists(st.integers(0, 9), min_size=20, max_size=20),
        examples=60,
    )
    def check(rate, changes):
        views = limits_of(10)
        hosts = [view._shares._own_host for view in views]
        for view in views:
            view.record_answer(IDENTITY, rate, 0.0)
        away, sent = None, []
        for second, change in enumerate(changes):
            if second % 4 == 0:
                away = change
                for view in views:
                    living = (h for n, h in enumerate(hosts) if n != away)
                    view._shares._subsets.set_peers(living)
            for step in range(100):
                now = second + step / 100
                number = step % 10
                if number != away and views[number].claim(ENDPOINT, now):
                    sent.append(now)
        assert most_in_window(sent, 0.0) <= allowed_requests(rate)


@then('a {status:d} answer with the rate "{value}" advertises {rate}')
def check_value(context, status, value, rate):
    limits = [(b"server-limit", v.encode()) for v in value.split(" and ")]
    head = ResponseHead(status, (*limits, (b"attempt-id", b"a")))
    notice = PlatformDialect().read_notice(head)
    if rate == "nothing":
        assert notice.rate_limit is None, notice
    else:
        assert notice.rate_limit == float(rate), notice


@when('an endpoint advertises 2 requests a second and then "{value}"')
def advertise_invalid(context, value):
    async def script(world):
        endpoint = world.endpoints[0]
        identity = known_endpoint(world, endpoint).identity
        limits = state_of(world).limits
        endpoint.rate_limit = "2"
        while not limits.is_limited(identity):
            await world.call("once")
        endpoint.rate_limit = value
        before = len(endpoint.arrivals)
        while len(endpoint.arrivals) == before:
            await world.call("once")
            await trio.sleep(CALL_GAP_SECONDS)
        context.rate = limits.rate(identity)

    context.ingress.run(script)


@then("it is limited to {rate:g} requests a second")
def check_limited(context, rate):
    assert context.rate == rate, context.rate


@then(
    "an answer without a rate ends a limit, unless it overlaps one that advertised it"
)
def check_end(context):
    (view,) = limits_of(1)
    assert not view.record_answer(IDENTITY, UNLIMITED, 9.0)
    assert view.record_answer(IDENTITY, 2.0, 10.0)
    assert not view.record_answer(IDENTITY, UNLIMITED, 10.3)
    assert view.is_limited(IDENTITY)
    assert not view.record_answer(IDENTITY, 2.0, 10.4)
    assert view.record_answer(IDENTITY, UNLIMITED, 11.0)
    assert not view.is_limited(IDENTITY)
    assert view.may_send(ENDPOINT, 11.0)
    assert view.record_answer(IDENTITY, 1.0, 11.1)
    assert view.rate(IDENTITY) == 1.0


@then("an answer that belongs to no request doesn't end it")
def check_foreign(context):
    dialect = PlatformDialect()
    assert dialect.read_notice(ResponseHead(200, ())) == NO_NOTICE
    headers = ((b"attempt-id", b"a"),)
    assert dialect.read_notice(ResponseHead(200, headers)) == UNRESTRICTED_NOTICE
    assert dialect.read_notice(ResponseHead(421, headers)) == NO_NOTICE


@then("a limit of one incarnation doesn't apply to the next one")
def check_successor(context):
    (view,) = limits_of(1)
    first, second = replace(ENDPOINT, born=1), replace(ENDPOINT, born=2)
    view.record_answer(first.identity, 2.0, 10.0)
    assert view.is_limited(first.identity)
    assert not view.is_limited(second.identity)


@then("the latest answer counts, whichever gateway received it")
def check_peers(context):
    first, second = limits_of(2)
    first.record_answer(IDENTITY, 2.0, 10.0)
    assert list(second.apply_report(first.report(10.2), 10.2)) == [IDENTITY]
    assert second.rate(IDENTITY) == 2.0
    assert second.report(10.3) == {}, "a peer's report is passed on"
    second.record_answer(IDENTITY, UNLIMITED, 11.0)
    assert list(second.apply_report(first.report(11.1), 11.1)) == []
    assert list(first.apply_report(second.report(11.1), 11.1)) == [IDENTITY]
    assert not first.is_limited(IDENTITY)
    first.drop_expired(11.0 + REPORTED_SECONDS)
    assert list(first.limited()) == []


@then("reports with rate limits are decoded, and invalid ones refused with their code")
def check_reports(context):
    rate_limits = {IDENTITY: RateReport(2.4, 0.25), "i-9": RateReport(UNLIMITED, 1.5)}
    report = replace(plain_report(), rate_limits=rate_limits)
    assert PeerReport.decode(report.encode()).rate_limits == rate_limits
    fields = orjson.loads(report.encode())
    for faulty in ([[1]], {IDENTITY: [1]}, {IDENTITY: [-1, 0]}, {IDENTITY: ["a", 0]}):
        fields[-1] = faulty
        try:
            PeerReport.decode(orjson.dumps(fields))
        except InvalidReportError as error:
            assert error.code == "invalid_report"
        else:
            raise AssertionError(f"{faulty} was read")


def plain_report():
    return PeerReport(
        host="10.0.0.1",
        data_hall="ikeja",
        incarnation="a",
        number=1,
        config_version=1,
        endpoint_revision=StoreRevision(1),
        fingerprint=1,
        reads_store=True,
        is_leaving=False,
        store_liveness=StoreLiveness(0.1, False),
        link_megabits=10.0,
        members=(),
        loads={},
        leaving={},
    )


@then("one gateway after the other probes whether the limit still applies")
def check_probes(context):
    views = limits_of(4)
    for view in views:
        view.record_answer(IDENTITY, 0.2, 0.0)
    probes = []
    for tenth in range(200):
        now = tenth / 10
        for number, view in enumerate(views):
            has_quota = bool(view.quota(ENDPOINT).requests)
            if not has_quota and view.claim(ENDPOINT, now):
                probes.append((number, now))
    assert len(probes) == 3, "gateways without a quota must probe once each"
    assert len({at for _, at in probes}) == 3, "gateways probe at the same time"
    assert min(at for _, at in probes) >= PROBE_AFTER_SECONDS


@then("it gets one each 10 s from all gateways together")
def check_zero_rate(context):
    views = limits_of(6)
    for view in views:
        view.record_answer(IDENTITY, 0.0, 0.0)
    sent = []
    for tenth in range(400):
        for view in views:
            if view.claim(ENDPOINT, tenth / 10):
                sent.append(tenth / 10)
                for other in views:
                    other.record_answer(IDENTITY, 0.0, tenth / 10)
    gaps = [later - earlier for earlier, later in pairwise(sent)]
    assert sent, "no gateway probes whether the limit has ended"
    assert min(gaps) >= PROBE_AFTER_SECONDS, gaps


@when(
    "all endpoints of {service} advertise 1 request a second, and {count:d} come at once"
)
def limit_all(context, service, count):
    async def script(world):
        name = SERVICES[service]
        limits = state_of(world).limits
        for standin in standins_of(world, name):
            standin.rate_limit = "1"
            identity = known_endpoint(world, standin).identity
            limits.record_answer(identity, 1.0, trio.current_time())
        context.replies, context.seconds = [], []

        async def one():
            started = trio.current_time()
            kind = "stream" if name == "model" else "once"
            context.replies.append(await send(world, kind))
            context.seconds.append(trio.current_time() - started)

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(one)

    context.ingress.run(script)


@when(
    "all endpoints of the desk advertise a rate of 0, and a call comes to each gateway"
)
def advertise_zero(context):
    async def script(world):
        await wait_for_peers(world)
        for number in world.gateways:
            state = state_of(world, number)
            now = trio.current_time()
            for standin in standins_of(world, "desk"):
                endpoint = known_endpoint(world, standin, number)
                state.limits.record_answer(endpoint.identity, 0.0, now)
                state.limits.claim(endpoint, now)
        context.replies = [await world.call("once", number=n) for n in world.gateways]

    context.ingress.run(script)


@then("each is refused with {code}, to retry within {seconds:g} s")
def check_retry_after(context, code, seconds):
    for reply in context.replies:
        assert reply.status == 503, vars(reply)
        assert f'"{code}"'.encode() in reply.body, reply.body
        assert 0 < float(reply.headers["retry-after"]) <= seconds, reply.headers


@then("some are served and the others refused within {seconds:g} s as not run")
def check_some_served(context, seconds):
    assert {reply.status for reply in context.replies} == {200, 503}
    refused = [reply for reply in context.replies if reply.status == 503]
    assert all(b'"endpoints_limited"' in reply.body for reply in refused)
    assert max(context.seconds) < seconds, context.seconds


@then("each refusal has another Retry-After")
def check_spread(context):
    refused = [reply for reply in context.replies if reply.status == 503]
    times = [float(reply.headers["retry-after"]) for reply in refused]
    assert len(set(times)) == len(times), times


@when("an endpoint's rate limit is reached while a call to it connects")
def limit_while_connecting(context):
    call_while(context, use_up_quota)


def use_up_quota(state, endpoint):
    """Use up a gateway's quota at an endpoint that advertises a rate limit."""
    now = trio.current_time()
    state.limits.record_answer(endpoint.identity, 0.5, now)
    while state.limits.claim(endpoint, now):
        pass


@when("the engine of a large stream crashes while its backup's rate limit is reached")
def crash_before_limited(context):
    def prepare(world, backup):
        use_up_quota(state_of(world), known_endpoint(world, backup))

    crash_under_stream(context, prepare)


@then("the limited engine gets nothing, and the stream ends incomplete")
def check_not_continued(context):
    assert not context.backup.arrivals
    assert not context.reading.reply.is_whole


@then("an endpoint whose rate limit is reached gets no backup and no move")
def check_no_backup(context):
    directory = EndpointDirectory()
    endpoints = list(fleet_of(3))
    for listed in endpoints:
        directory.put(listed)
    subsets = EndpointSubsets("self", directory)
    limits = EndpointRateLimits(RateShares("self", subsets, CurrentConfiguration()))
    placement = placement_over(directory, FleetLoad(), subsets=subsets, limits=limits)
    limits.record_answer(endpoints[0].identity, 0.5, 0.0)
    assert endpoints[0] in placement.available_endpoints("model", 0.0)
    while limits.claim(endpoints[0], 0.0):
        pass
    assert endpoints[0] not in placement.available_endpoints("model", 0.0)
    assert list(limits.limited()) == [endpoints[0].identity]


@when("an endpoint's rate limit is reached, and then a call is served")
def serve_at_limit(context):
    output, context.log = tempfile.mkstemp()
    context.ingress.log_output = output

    async def script(world):
        endpoint = world.endpoints[0]
        state = state_of(world)
        endpoint.rate_limit = "0.5"
        while not state.limits.is_limited(known_endpoint(world, endpoint).identity):
            await world.call("once")
        use_up_quota(state, known_endpoint(world, endpoint))
        await world.call("once", request="abc")
        world.gateways[0][1]._log.flush()

    context.ingress.run(script)


def events_of(context):
    return [orjson.loads(line) for line in Path(context.log).read_bytes().splitlines()]


@then("the log of that call names the endpoint as limited")
def check_log(context):
    started = [e for e in events_of(context) if e["event"] == "attempt_started"]
    assert started[-1]["limited"] == ["i-0"], started[-1]


@then("the log has the limit and this gateway's quota of it")
def check_limit_log(context):
    event = next(
        e for e in events_of(context) if e["event"] == "endpoint_limit_changed"
    )
    assert event["rate"] == 0.5, event
    assert (event["part"], event["window"]) == (1, 2.0), event
    assert event["source"] == "endpoint", event
