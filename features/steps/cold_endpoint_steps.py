"""Steps for endpoints that have just started, most of them in virtual time."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from random import Random

import trio
from behave import given, then, when
from hypothesis import strategies as st
from support.core_checks import checked, ENGINE, fleet_of
from support.ingress_world import IngressWorld

from piershore.core.fleet.cold_starts import ColdStarts, TRANSIT_JITTER_SECONDS
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.rate_shares import RateShares, Share
from piershore.core.fleet.subsetting import EndpointSubsets
from piershore.core.routes.current_configuration import CurrentConfiguration
from piershore.core.routes.service_spec import ServiceSpec
from piershore.core.routes.serving_configuration import ServingConfiguration

LONG_COLD_SECONDS = 60.0
COLD_START_SECONDS = 1.5


@then("the quotas of any number of gateways add up to what an endpoint accepts")
def check_quotas(context):
    @checked(st.integers(0, 100), st.integers(1, 500))
    def check(rate, gateways):
        quotas = [Share(rank, gateways).quota(rate) for rank in range(gateways)]
        assert sum(quotas) == rate
        assert max(quotas) - min(quotas) <= 1


class ColdFleet:
    """Gateways that prefer cold endpoints, since these look empty."""

    def __init__(self, gateways, endpoints, cold):
        listed = list(fleet_of(endpoints))
        self.cold = {endpoint.identity for endpoint in listed[:cold]}
        self.directory = EndpointDirectory()
        for number, endpoint in enumerate(listed):
            seconds = LONG_COLD_SECONDS if number < cold else 0.0
            self.directory.put(replace(endpoint, cold_seconds=seconds))
        self.hosts = [f"10.0.{n // 250}.{n % 250}" for n in range(gateways)]
        self.live_hosts = list(self.hosts)
        self.configuration = CurrentConfiguration()
        self.views = {}
        self.arrivals = defaultdict(list)
        self.refused = 0

    def configure(self, rate):
        """Configure the service's cold rate, and set up each gateway's view."""
        spec = ServiceSpec("model", ENGINE, LONG_COLD_SECONDS, float(rate))
        self.configuration.apply_if_newer(
            ServingConfiguration(1, {}, {"model": spec}, {})
        )
        for host in self.hosts:
            subsets = EndpointSubsets(host, self.directory)
            subsets.set_peers(self.hosts)
            shares = RateShares(host, subsets, self.configuration)
            starts = ColdStarts(shares, self.configuration)
            for endpoint in self.directory:
                starts.record_entry(endpoint, 0.0)
            self.views[host] = (subsets.own("model"), starts)

    def serve(self, rate, seconds):
        """Send requests through random gateways; they arrive after a short delay."""
        random = Random(3)
        now = 0.0
        while now < seconds:
            now += random.expovariate(rate)
            endpoints, starts = self.views[random.choice(self.live_hosts)]
            allowed = [e for e in endpoints if starts.may_send(e, now)]
            if not allowed:
                self.refused += 1
                continue
            cold = [e for e in allowed if e.identity in self.cold]
            chosen = random.choice(cold or allowed)
            starts.record_sent(chosen, now)
            delay = random.random() * TRANSIT_JITTER_SECONDS
            self.arrivals[chosen.identity].append(now + delay)

    def max_in_a_second(self, identity):
        """Return the maximum number of arrivals in any second."""
        times = sorted(self.arrivals[identity])
        first, maximum = 0, 0
        for last, at in enumerate(times):
            while times[first] <= at - 1.0:
                first += 1
            maximum = max(maximum, last - first + 1)
        return maximum


@given("{gateways:d} gateways before {endpoints:d} endpoints, {cold:d} of them cold")
def given_cold_fleet(context, gateways, endpoints, cold):
    context.cold_fleet = ColdFleet(gateways, endpoints, cold)


@given("cold endpoints can handle {rate:d} requests a second")
def given_rate(context, rate):
    context.cold_fleet.configure(rate)
    context.rate = rate


@given("{count:d} of the gateways have crashed")
def given_crashed(context, count):
    del context.cold_fleet.live_hosts[:count]


@when("{rate:d} requests come a second for {seconds:d} seconds")
def serve(context, rate, seconds):
    context.cold_fleet.serve(rate, seconds)
    context.seconds = seconds


@then("no cold endpoint gets more than {rate:d} requests in any second")
def check_maximum(context, rate):
    fleet = context.cold_fleet
    worst = max(fleet.max_in_a_second(identity) for identity in fleet.cold)
    assert 0 < worst <= rate, worst


@then("the cold ones get at least {share:g} of what they can handle")
def check_used(context, share):
    fleet = context.cold_fleet
    sent = sum(len(fleet.arrivals[identity]) for identity in fleet.cold)
    possible = context.rate * context.seconds * len(fleet.cold)
    assert sent >= share * possible, sent / possible


@then("no request is refused while a warm endpoint is available")
def check_none_refused(context):
    assert context.cold_fleet.refused == 0


@given(
    "a gateway before cold endpoints that can handle {rate:d} requests a second each"
)
def given_cold_desk(context, rate):
    world = context.ingress = IngressWorld()
    world.add_endpoints("desk", 3)
    for endpoint in world.endpoints:
        endpoint.cold_milliseconds = 60_000
    world.configuration["services"][0].update(cold_start_s=60.0, cold_per_s=rate)


@when("{count:d} requests come at once")
def send_at_once(context, count):
    async def script(world):
        context.replies = []

        async def call():
            context.replies.append(await world.call("once"))

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(call)
        context.runs = world.runs("desk")
        await trio.sleep(2)
        context.later = await world.call("once")

    context.ingress.run(script)


@then("{count:d} of them run, and the others are refused at once as not run")
def check_run(context, count):
    statuses = [reply.status for reply in context.replies]
    assert statuses.count(200) == count == context.runs, statuses
    refused = [reply for reply in context.replies if reply.status != 200]
    assert {reply.status for reply in refused} == {503}
    assert all(float(reply.headers["retry-after"]) > 0 for reply in refused)


@then("2 seconds later requests run again")
def check_later(context):
    assert context.later.status == 200


def cold_starts():
    configuration = CurrentConfiguration()
    spec = ServiceSpec("model", None, COLD_START_SECONDS, 5.0)
    configuration.apply_if_newer(ServingConfiguration(1, {}, {"model": spec}, {}))
    subsets = EndpointSubsets("self", EndpointDirectory())
    shares = RateShares("self", subsets, configuration)
    return ColdStarts(shares, configuration)


@then("an endpoint is cold for the time in its entry or in a peer's report")
def check_cold_time(context):
    starts, (listed, reported) = cold_starts(), fleet_of(2)
    starts.record_entry(replace(listed, cold_seconds=2.0), 10.0)
    assert starts.is_cold(listed.identity, 11.9)
    assert starts.report(11.0) == {listed.identity: 1.0}
    starts.apply_report({reported.identity: 3.0}, 11.0)
    assert starts.is_cold(reported.identity, 13.9)
    # Only the gateway that read the entry reports it, else reports would circulate
    # forever.
    assert starts.report(11.0) == {listed.identity: 1.0}
    assert not starts.is_cold(listed.identity, 12.0)
    assert not starts.is_cold(reported.identity, 14.0)
    assert starts.report(14.0) == {}


@then("an endpoint added by a peer's list is cold for its service's cold start time")
def check_added(context):
    starts, (added,) = cold_starts(), fleet_of(1)
    starts.record_start(added, 10.0)
    assert starts.is_cold(added.identity, 10.0 + COLD_START_SECONDS - 0.1)
    assert not starts.is_cold(added.identity, 10.0 + COLD_START_SECONDS)
