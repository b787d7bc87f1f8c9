"""Steps for loads, placement and evacuation plans."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import trio
from absl import flags
from behave import given, then, when
from hypothesis import example
from hypothesis import given as given_data
from hypothesis import strategies as st
from support.core_checks import checked, endpoint, ENGINE, fleet_of
from support.placements import placement_over

from piershore.commands.options import PLACEMENT
from piershore.core.fleet.data_hall_stalls import DataHallStalls
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_load import EndpointLoad, NO_LOAD
from piershore.core.fleet.evacuation_plan import (
    choose_targets,
    COPY_BUDGET_SECONDS,
    plan_evacuation,
    StreamReport,
)
from piershore.core.fleet.fleet_load import FleetLoad
from piershore.core.fleet.generation_work import GenerationSize, GenerationWork
from piershore.core.fleet.length_estimate import LengthEstimate
from piershore.core.fleet.placement_policy import (
    PLACEMENT_POLICIES,
)
from piershore.ingress.live_stream import Handover


@then("it may go back to its source for 1 second after the notice, and no longer")
def check_places(context):
    async def check():
        source, target = endpoint("source"), endpoint("target")
        handover = Handover(source, target, noticed_at=10.0)
        assert handover.continuation_endpoints(10.9) == (target, source)
        assert handover.continuation_endpoints(11.1) == (target,)

    trio.run(check)


def stream_report(number, tokens, *, has_begun=True):
    return StreamReport(f"r{number}", tokens, has_begun)


TARGETS = tuple(endpoint(f"t{n}", data_hall=f"h{n % 3}") for n in range(6))


@then("each generation is planned once, the same from any order of notes")
def check_plan(context):
    @checked(st.lists(st.integers(100, 9_000), max_size=12), st.integers(0, 99))
    def check(sizes, seed):
        reports = [stream_report(number, size) for number, size in enumerate(sizes)]
        loads = {t.identity: EndpointLoad(projected_tokens=9_000) for t in TARGETS[:3]}
        source = endpoint("source")
        plan = plan_evacuation(source, reports, TARGETS, loads, ENGINE)
        assert sorted(m.request for m in plan) == sorted(n.request for n in reports)
        Random(seed).shuffle(reports)
        assert plan == plan_evacuation(source, reports, TARGETS, loads, ENGINE)
        assert not plan_evacuation(source, reports, (), loads, ENGINE)


@then("6 generations go to an even spread of targets, and 14 by the shortest copies")
def check_spread(context):
    source = endpoint("source")
    few = [stream_report(number, 1_500) for number in range(6)]
    plan = plan_evacuation(source, few, TARGETS, {}, ENGINE)
    assert len({move.target.identity for move in plan}) == 6
    many = [stream_report(number, 1_500) for number in range(14)]
    plan = plan_evacuation(source, many, TARGETS, {}, ENGINE)
    remote = [move for move in plan if move.target.data_hall != "h0"]
    assert not remote
    assert plan[-1].start < COPY_BUDGET_SECONDS


IDENTITIES = ("i-0", "i-1", "i-2")


LOADS = st.builds(EndpointLoad, *[st.integers(0, 3)] * 4)


REPORTS = st.dictionaries(st.sampled_from(IDENTITIES), LOADS)


NOTHING = {"i-0": NO_LOAD}
"""A report may include an endpoint without any load."""


HISTORY = st.lists(st.tuples(st.sampled_from("abc"), REPORTS, st.booleans()))


@then("the load of an endpoint is the sum of the newest reports that count")
def check_sums(context):
    @given_data(HISTORY)
    @example(
        [
            ("a", NOTHING, False),
            ("b", NOTHING, False),
            ("a", {}, False),
            ("b", {}, False),
        ]
    )
    def check(history):
        loads, newest = FleetLoad(), {}
        for now, (peer, report, forget) in enumerate(history):
            loads.apply_report(peer, report, float(now))
            newest[peer] = (now, report)
            if forget:
                loads.forget_peers(now - 1)
                newest = {p: kept for p, kept in newest.items() if kept[0] >= now - 1}
        for identity in IDENTITIES:
            reported = [r[identity] for _, r in newest.values() if identity in r]
            assert loads.at(identity) == sum(reported, NO_LOAD)

    check()


class OnceReadLoads(dict):
    """A report that may only be iterated, when it is applied, and never looked up."""

    def get(self, *arguments):
        raise AssertionError("a report was looked up during a placement")

    __getitem__ = __contains__ = get


@then(
    "a choice among {endpoints:d} endpoints with {peers:d} peers adds up no peer's report"
)
def check_choice_cost(context, endpoints, peers):
    directory, loads = EndpointDirectory(), FleetLoad()
    for listed in fleet_of(endpoints):
        directory.put(listed)
    for number in range(peers):
        report = {f"i-{number % endpoints}": EndpointLoad(1, 100, 200, 0)}
        loads.apply_report(f"peer-{number}", OnceReadLoads(report), 0.0)
    placement = placement_over(directory, loads)
    work = GenerationWork(GenerationSize(100, 100), LengthEstimate.exactly(50))
    choice = placement.for_generation("model", work, ENGINE, 0.0)
    assert choice.load.requests == 1


MANY_SHORT = EndpointLoad(requests=9, held_tokens=900, projected_tokens=1_000)


FEW_LONG = EndpointLoad(requests=2, held_tokens=5_000, projected_tokens=20_000)


GROWING = EndpointLoad(requests=9, held_tokens=800, projected_tokens=30_000)


POLICY_PREFERS = {
    "projected_peak": (MANY_SHORT, FEW_LONG),
    "least_in_flight": (FEW_LONG, MANY_SHORT),
    "power_of_two": (FEW_LONG, MANY_SHORT),
    "memory_free_now": (GROWING, MANY_SHORT),
}


@then("each policy of the setting ranks engines by what its name says")
def check_policies(context):
    work = GenerationWork(GenerationSize(100, 100), LengthEstimate.exactly(50))
    assert PLACEMENT_POLICIES.keys() == POLICY_PREFERS.keys()
    assert tuple(flags.FLAGS[PLACEMENT.name].parser.enum_values) == tuple(
        PLACEMENT_POLICIES
    )
    for name, (better, worse) in POLICY_PREFERS.items():
        policy = PLACEMENT_POLICIES[name]()
        costs = [policy.cost(load, work, ENGINE) for load in (better, worse)]
        assert costs[0] < costs[1], name
    two = PLACEMENT_POLICIES["power_of_two"]().sample(range(9), Random(1))
    assert len(set(two)) == 2


class CountedLoads(FleetLoad):
    """Loads that count their lookups."""

    def __init__(self):
        super().__init__()
        self.lookups = 0

    def at(self, identity):
        self.lookups += 1
        return super().at(identity)


@then("a choice looks at 64 of them, a plan at 48, the same ones at all gateways")
def check_large_fleet(context):
    endpoints = list(fleet_of(3_000))
    directory, loads = EndpointDirectory(), CountedLoads()
    for listed in endpoints:
        directory.put(listed)
    placement = placement_over(directory, loads)
    work = GenerationWork(GenerationSize(100, 100), LengthEstimate.exactly(50))
    assert placement.for_generation("model", work, ENGINE, 0.0) is not None
    assert loads.lookups == 64
    source = endpoints[0]
    targets = choose_targets(source, endpoints)
    assert len(targets) == 48
    assert source not in targets
    assert targets == choose_targets(source, reversed(endpoints))


USUAL_GAP_SECONDS, LATE_GAP_SECONDS = 0.03, 0.21


PAUSES = {
    "50 parts, none late": [USUAL_GAP_SECONDS] * 50,
    "50 parts, 2 of them 0.21 s late": [USUAL_GAP_SECONDS] * 38
    + [LATE_GAP_SECONDS, *[USUAL_GAP_SECONDS] * 10, LATE_GAP_SECONDS],
    "2 late parts, and 100 in time since": [LATE_GAP_SECONDS] * 2
    + [USUAL_GAP_SECONDS] * 100,
}


@given("an engine at ikeja that holds {tokens:d} tokens, and an empty one at lekki")
def given_two_halls(context, tokens):
    directory, loads = EndpointDirectory(), FleetLoad()
    near, far = fleet_of(2)
    directory.put(replace(near, data_hall="ikeja"))
    directory.put(replace(far, data_hall="lekki"))
    held = EndpointLoad(1, tokens, tokens, 0)
    loads.apply_report("peer", {near.identity: held}, 0.0)
    context.stalls = DataHallStalls()
    context.placement = placement_over(directory, loads, stalls=context.stalls)


@when("streams from lekki have {pauses}")
def note_pauses(context, pauses):
    for gap in PAUSES[pauses]:
        context.stalls.record_chunk("lekki", gap)


@then("the generation is placed at {hall}")
def check_hall(context, hall):
    work = GenerationWork(GenerationSize(100, 100), LengthEstimate.exactly(50))
    choice = context.placement.for_generation("model", work, ENGINE, 0.0)
    assert choice.endpoint.data_hall == hall, choice
