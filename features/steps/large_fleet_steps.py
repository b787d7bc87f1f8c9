"""Steps for many gateways that choose at once, played in virtual time."""

from __future__ import annotations

from statistics import mean

from behave import given, then, when

from devtools.bench.fleet_simulation import FleetRun, FleetSettings
from piershore.core.fleet.placement_policy import DEFAULT_PLACEMENT
from piershore.core.fleet.report_pace import is_small_fleet, report_interval

SEED = 68


@given(
    "{gateways:d} gateways before {engines:d} engines, {starts:d} generations a second"
)
def given_fleet(context, gateways, engines, starts):
    context.settings = FleetSettings(
        DEFAULT_PLACEMENT,
        seconds=0.0,
        gateways=gateways,
        engines=engines,
        rate=float(starts),
        report_interval=report_interval(gateways - 1),
        tells_starts=is_small_fleet(gateways - 1),
        callers_a_gateway=1.4,
    )


@when("they serve for {seconds:d} seconds")
def serve(context, seconds):
    context.fleet = FleetRun(context.settings.lasting(float(seconds)), SEED)
    context.streams = context.fleet.run()


@then("9 of 10 first tokens come within {seconds:g} s")
def check_first_tokens(context, seconds):
    waits = sorted(s.first_at - s.arrived_at for s in context.streams if s.first_at)
    assert len(waits) == len(context.streams)
    assert waits[int(0.9 * len(waits))] <= seconds, waits[int(0.9 * len(waits))]


@then("generations are placed within {most:g} of the least loaded engine in the mean")
def check_excess(context, most):
    excess = mean(placing.excess for placing in context.fleet.placings)
    assert excess <= most, excess
