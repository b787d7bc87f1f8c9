"""Steps for many gateways that place requests at the same time, in virtual time."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from statistics import mean

from behave import given, then, when
from support.core_checks import ENGINE, fleet_of
from support.peer_reports import peer_report
from support.placements import placement_over

from devtools.bench.fleet_settings import FleetSettings, LONG_MOST
from devtools.bench.fleet_simulation import FleetRun
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_health import EndpointHealth
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.fleet_load import FleetLoad
from piershore.core.fleet.generation_work import GenerationSize, GenerationWork
from piershore.core.fleet.length_estimate import LengthEstimate
from piershore.core.fleet.load_update import LoadUpdate
from piershore.core.fleet.peer_table import PeerTable
from piershore.core.fleet.placement_policy import (
    DEFAULT_PLACEMENT,
)
from piershore.core.fleet.report_timing import report_interval
from piershore.core.fleet.subsetting import EndpointSubsets

SEED = 68
SERVICE = "model"
SMALL_WORK = GenerationWork(GenerationSize(100, 100), LengthEstimate.exactly(50))


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
        callers_a_gateway=1.4,
    )


@given("they refuse generations that no engine has memory for")
def given_refusals(context):
    context.settings = replace(context.settings, refuses=True)


@given("{count:d} engines leave together every {seconds:g} s")
def given_departures(context, count, seconds):
    context.settings = replace(
        context.settings, reclaim_every=seconds, reclaim_count=count
    )


@when("they serve for {seconds:d} seconds")
def serve(context, seconds):
    context.fleet = FleetRun(context.settings.lasting(float(seconds)), SEED)
    context.streams = context.fleet.run()


@then("9 of 10 first tokens arrive within {seconds:g} s")
def check_first_tokens(context, seconds):
    waits = sorted(s.first_at - s.arrived_at for s in context.streams if s.first_at)
    unserved = sum(s.refusals > 1 or s.is_lost for s in context.streams)
    assert len(waits) >= len(context.streams) - unserved
    assert waits[int(0.9 * len(waits))] <= seconds, waits[int(0.9 * len(waits))]


@then("at most {maximum:d} of 1000 generations are preempted")
def check_preempted(context, maximum):
    preempted = 1_000 * mean(s.preemptions > 0 for s in context.streams)
    assert preempted <= maximum, preempted


@then("at most {maximum:d} of 1000 long generations are lost")
def check_lost(context, maximum):
    long = [s for s in context.streams if s.work.size.max_output_tokens == LONG_MOST]
    lost = 1_000 * mean(s.is_lost for s in long)
    assert lost <= maximum, lost


@then(
    "chosen engines have on average at most {maximum:g} more generations than the "
    "least loaded"
)
def check_placements(context, maximum):
    excess = mean(placing.excess for placing in context.fleet.placings)
    assert excess <= maximum, excess


def directory_of(endpoints):
    directory = EndpointDirectory()
    for listed in endpoints:
        directory.put(listed)
    return directory


def host(number):
    return f"10.0.{number // 250}.{number % 250}"


def all_subsets(gateways, directory):
    hosts = [host(number) for number in range(gateways)]
    for own in hosts:
        subsets = EndpointSubsets(own, directory)
        subsets.set_peers(reversed(hosts))
        yield own, subsets


@then(
    "each of {gateways:d} gateways chooses from {chosen:d} of {endpoints:d} endpoints"
)
def check_subsets(context, gateways, chosen, endpoints):
    listed = list(fleet_of(endpoints))
    Random(SEED).shuffle(listed)
    directory = directory_of(listed)
    context.subsets = dict(all_subsets(gateways, directory))
    context.endpoints = listed
    context.chosen = {
        own: {e.identity for e in subsets.own(SERVICE)}
        for own, subsets in context.subsets.items()
    }
    assert {len(chosen) for chosen in context.chosen.values()} == {chosen}


@then(
    "each endpoint is shared by {minimum:d} to {maximum:d} gateways, which get its "
    "load updates"
)
def check_sharers(context, minimum, maximum):
    own_host, subsets = next(iter(context.subsets.items()))
    counts = set()
    for endpoint in context.endpoints:
        sharers = {
            own for own, ids in context.chosen.items() if endpoint.identity in ids
        }
        assert set(subsets.sharing_peers(endpoint)) == sharers - {own_host}
        counts.add(len(sharers))
    assert (min(counts), max(counts)) == (minimum, maximum), counts


@then("a generation is placed at an endpoint outside the subset, if there is one")
def check_placement_outside_subset(context):
    directory, loads = directory_of(fleet_of(40)), FleetLoad()
    subsets = EndpointSubsets("10.0.0.1", directory)
    subsets.set_peers(host(number) for number in range(60))
    health = EndpointHealth()
    placement = placement_over(directory, loads, health=health, subsets=subsets)
    own = {endpoint.identity for endpoint in subsets.own(SERVICE)}

    def placed(**options):
        choice = placement.for_generation(SERVICE, SMALL_WORK, ENGINE, 0.0, **options)
        return choice.endpoint.identity

    assert placed() in own
    assert placed(excluded=own) not in own
    full = EndpointLoad(24, 34_000, 34_000, 0)
    loads.apply_report("peer", dict.fromkeys(own, full), 0.0)
    assert placed(anywhere=True) not in own
    for identity in own:
        while not health.is_ejected(identity, 0.0):
            health.record_failure(identity, 0.0)
    assert placed() not in own


def load_update(number, requests, incarnation="life"):
    return LoadUpdate("peer", incarnation, number, "i-0", EndpointLoad(requests))


@then("a load update counts until its gateway's next report, and not after a newer one")
def check_load_updates(context):
    table, loads = PeerTable("self", (), 0.0), FleetLoad()

    def apply_update(*arguments):
        update = LoadUpdate.decode(load_update(*arguments).encode())
        if table.is_newer(update):
            loads.apply_update(update.host, update.endpoint, update.load)
        return loads.at("i-0").requests

    assert apply_update(1, 5) == 0, "an update from an unknown gateway"
    table.apply_report(peer_report("peer", 2), 0.0)
    loads.apply_report("peer", {"i-0": EndpointLoad(1), "i-1": EndpointLoad(1)}, 0.0)
    assert apply_update(3, 2) == 2
    assert apply_update(3, 2) == 2, "a repeated update"
    assert apply_update(1, 7) == 2, "an update from before the report"
    assert apply_update(9, 7, "another life") == 2
    assert loads.at("i-1").requests == 1
    loads.apply_report("peer", {"i-0": EndpointLoad(4)}, 1.0)
    assert loads.at("i-0").requests == 4
    loads.forget_peers(2.0)
    assert loads.at("i-0").requests == 0
    loads.apply_update("peer", "i-0", EndpointLoad(3))
    assert loads.at("i-0").requests == 0
