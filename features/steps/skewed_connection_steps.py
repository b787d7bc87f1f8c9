"""Steps for gateways of which one gets most new connections."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

import trio
from behave import given, then, when
from hypothesis import strategies as st
from support.core_checks import checked, fleet_of
from support.ingress_world import IngressWorld
from support.stream_reading import wait_for_peers

from devtools.rate_window import (
    allowed_requests,
    CONTACT_SECONDS,
    most_in_window,
    WINDOW_SECONDS,
)
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_rate_limits import EndpointRateLimits
from piershore.core.fleet.peer_report import InvalidReportError
from piershore.core.fleet.rate_lending import RateLending
from piershore.core.fleet.rate_loan_messages import LoanMessage
from piershore.core.fleet.rate_shares import RateShares
from piershore.core.fleet.subsetting import EndpointSubsets
from piershore.core.routes.current_configuration import CurrentConfiguration
from piershore.http1.exceptions import ExchangeBrokenError, NotConnectedError

SEED = 1
STEP_SECONDS = 0.01
CONFIRMED_SECONDS = 1.0
"""Interval at which answers confirm a rate: without any, it would be probed."""


class LendingFleet:
    """Gateways before one limited endpoint, in virtual time; messages may be lost."""

    def __init__(self, gateways, rate, seed, lost_share=0.0, most_delay=0.01):
        self.random = Random(seed)
        self._lost_share, self._most_delay = lost_share, most_delay
        directory = EndpointDirectory()
        for endpoint in fleet_of(1):
            directory.put(endpoint)
        (self.endpoint,) = fleet_of(1)
        self._rate = rate
        self._messages, self._order = [], count()
        self.hosts = [f"10.0.0.{number}" for number in range(gateways)]
        self.limits, self._lending = {}, {}
        self.sent, self.refused, self.lent = [], 0, 0
        for host in self.hosts:
            subsets = EndpointSubsets(host, directory)
            subsets.set_peers(self.hosts)
            shares = RateShares(host, subsets, CurrentConfiguration())
            self.limits[host] = EndpointRateLimits(shares)
            self._lending[host] = RateLending(self.limits[host], shares, self.random)

    def run(self, seconds, calls_a_second, choose):
        """Let calls arrive at the gateways that `choose` returns for a time."""
        now = next_call = 0.0
        confirmed_at = float("-inf")
        while now < seconds:
            if now >= confirmed_at + CONFIRMED_SECONDS:
                confirmed_at = now
                for limits in self.limits.values():
                    limits.record_answer(self.endpoint.identity, self._rate, now)
            while next_call <= now:
                self._call(choose(now), now)
                next_call += self.random.expovariate(calls_a_second)
            self._deliver(now)
            for host in self.hosts:
                self._request(host, now)
            now += STEP_SECONDS

    def _call(self, host, now):
        limits = self.limits[host]
        limits.demand.record(self.endpoint.service, now)
        if limits.claim(self.endpoint, now):
            self.sent.append(now)
            return
        self.refused += 1
        limits.record_shortage([self.endpoint], now)

    def _request(self, host, now):
        for lender, wanted in self._lending[host].requests([self.endpoint], now):
            self._send(now, self._grant, lender, wanted, host, now)

    def _grant(self, now, lender, wanted, borrower, requested_at):
        requests = self._lending[lender].offer(
            self.endpoint, [self.endpoint], borrower, wanted, now
        )
        self.lent += requests
        if requests:
            loan = replace(wanted, requests=requests)
            self._send(now, self._take, lender, loan, borrower, requested_at)

    def _take(self, now, lender, loan, borrower, requested_at):
        self.limits[borrower].loans.borrow(lender, loan, requested_at)

    def _send(self, now, handler, *arguments):
        if self.random.random() >= self._lost_share:
            at = now + self.random.uniform(0, self._most_delay)
            heappush(self._messages, (at, next(self._order), handler, arguments))

    def _deliver(self, now):
        while self._messages and self._messages[0][0] <= now:
            _, _, handler, arguments = heappop(self._messages)
            handler(now, *arguments)


@given(
    "{gateways:d} gateways and {endpoints:d} endpoints that accept {rate:g} calls a"
    " second each"
)
def given_limited(context, gateways, endpoints, rate):
    context.ingress = IngressWorld()
    context.ingress.add_endpoints("desk", endpoints)
    context.ingress._start_gateways = gateways
    context.rate = rate
    for endpoint in context.ingress.endpoints:
        endpoint.rate_limit = f"{rate:g}"


@when(
    "of {load:g} calls a second {share:g} come to one gateway after {before:g} s, for"
    " {seconds:g} s"
)
def send_calls(context, load, share, before, seconds):
    random = Random(SEED)
    context.calls = []

    async def send(world, number):
        at = trio.current_time()
        try:
            reply = await world.call("once", number=number)
            context.calls.append((at, reply.status == 200))
        except (NotConnectedError, ExchangeBrokenError):
            context.calls.append((at, False))

    async def script(world):
        await wait_for_peers(world)
        context.began_at = trio.current_time()
        context.skewed_at = context.began_at + before
        async with trio.open_nursery() as nursery:
            while trio.current_time() < context.skewed_at + seconds:
                number = random.randrange(len(world.gateways))
                is_skewed = trio.current_time() >= context.skewed_at
                if is_skewed and random.random() < share:
                    number = 0
                nursery.start_soon(send, world, number)
                await trio.sleep(random.expovariate(load))

    context.ingress.run(script)


@then("calls are served at the first attempt {ratio:g} as often as before")
def check_served(context, ratio):
    def share(begin, end):
        served = [is_served for at, is_served in context.calls if begin <= at < end]
        return sum(served) / len(served)

    before = share(context.began_at + CONTACT_SECONDS, context.skewed_at)
    after = share(context.skewed_at + CONTACT_SECONDS, float("inf"))
    print(f"served {before:.3f} before, {after:.3f} after")
    assert after >= ratio * before, (before, after)


@then("the endpoints never get more than they accept")
def check_rates(context):
    for endpoint in context.ingress.endpoints:
        times = [arrival.at for arrival in endpoint.arrivals]
        maximum = most_in_window(times, context.began_at + CONTACT_SECONDS)
        allowed = allowed_requests(context.rate)
        assert maximum <= allowed, (endpoint.identity, maximum, allowed)


def alternate(hosts, stays, now):
    """Return the host that gets all calls now; each one does for a time in turn."""
    return hosts[int(now / stays) % len(hosts)]


@then(
    "in any 4 s gateways that lend send at most 4 times the rate, wherever callers are"
)
def check_lent_sum(context):
    lent = []

    @checked(
        st.integers(2, 30),
        st.floats(1, 60),
        st.integers(0, 1_000),
        st.floats(0, 0.5),
        st.floats(0.001, 3.0),
        st.floats(0.3, 4.0),
        st.integers(2, 4),
        examples=25,
    )
    def check(gateways, rate, seed, lost_share, most_delay, stays, places):
        fleet = LendingFleet(gateways, rate, seed, lost_share, most_delay)
        fleet.run(10.0, 4 * rate, partial(alternate, fleet.hosts[:places], stays))
        maximum = most_in_window(fleet.sent, 0.0)
        assert maximum <= WINDOW_SECONDS * rate, (maximum, rate)
        lent.append(fleet.lent)

    assert any(lent)
    for stays in (0.5, 1.5):
        fleet = LendingFleet(24, 60.0, SEED)
        fleet.run(10.0, 240.0, partial(alternate, fleet.hosts[:2], stays))
        assert most_in_window(fleet.sent, 0.0) <= WINDOW_SECONDS * 60.0


@then("gateways that get as many callers as others lend nothing")
def check_even(context):
    fleet = LendingFleet(6, 48.0, SEED)
    turns = count()
    fleet.run(20.0, 30.0, lambda now: fleet.hosts[next(turns) % len(fleet.hosts)])
    assert fleet.lent == 0, fleet.lent


@then("loan messages are decoded or refused with their code")
def check_messages(context):
    @checked(st.binary(max_size=60))
    def check(data):
        try:
            LoanMessage.decode(b"?" + data)
        except InvalidReportError as error:
            assert error.code
