"""Steps for parts of prompts that crash the engines that run them."""

from __future__ import annotations

import trio
from behave import given, step, then, when
from quarantine_steps import ENGINE_LOST, ManyRetries, ScriptedLinks
from support.ingress_world import IngressWorld
from support.part_traffic import CRASHING_PART, FIRST_PART, PartTraffic, SECOND_PART
from support.stream_reading import wait_for_peers
from trio.testing import MockClock

from devtools.bench.part_crash_experiment import (
    PartCrashRun,
    PartCrashSettings,
    SEEDS,
    TRAFFIC,
)
from piershore.core.quarantine.request_traits import MAX_TRACKED_PARTS, request_traits
from piershore.core.quarantine.trait_quarantine import MAX_RECORDS, TraitQuarantine
from piershore.gateway.exceptions import RequestRefusedError
from piershore.gateway.generation_service import GenerationService
from piershore.gateway.requested_generation import RequestedGeneration
from piershore.wire.link_pb2 import Accepted, Ended, StreamTokens
from standins.published_endpoint import CrashPoint, PART_CRASH_SECONDS

POSITIONS = {"first": 0, "second": 1, "third": 2}
CONTACT_SECONDS = 3.0
"""Time that gateways have to learn of a crash."""
MAX_CRASHES, MAX_LATER_RUNS = 5, 3


@given("{gateways:d} gateways and {engines:d} engines that a part crashes {when}")
def given_fleet(context, gateways, engines, when):
    context.ingress = IngressWorld()
    context.ingress.add_endpoints("model", engines)
    context.ingress._start_gateways = gateways
    context.engine_options = {"crash_point": CrashPoint(when)}


@step("streams end with their connection")
def set_ended_by_connection(context):
    context.engine_options["ends_with_connection"] = True


@step("of {rate:g} streams a second a share of {share:g} has the part {place}")
def given_traffic(context, rate, share, place):
    world = context.ingress
    context.traffic = PartTraffic(world, rate, share, POSITIONS[place])
    context.traffic.engine_options = context.engine_options
    context.traffic.open_gateways = list(range(world._start_gateways))
    for endpoint in world.endpoints:
        context.traffic.set_up(endpoint)


async def play(context, before, seconds):
    await wait_for_peers(context.ingress)
    context.began_at = trio.current_time()
    await context.traffic.run(before, seconds)
    context.ended_at = trio.current_time()


@when("they are sent for {before:g} s without the part, and for {seconds:g} s with it")
def send_streams(context, before, seconds):
    context.ingress.run(lambda world: play(context, before, seconds))


@when(
    "after {seconds:g} s with it a gateway starts, and gets {times:d} requests with the"
    " part as soon as it is ready"
)
def start_gateway(context, seconds, times):
    async def script(world):
        await play(context, 0.0, seconds)
        number = len(world.gateways)
        await world.start_gateway(number)
        context.replies = []
        for _ in range(times):
            parts = [FIRST_PART, SECOND_PART, CRASHING_PART]
            context.replies.append(await context.traffic.send(parts, number))

    context.ingress.run(script)


@then("the last {count:d} are answered 429 with the time of the next probe")
def check_refused(context, count):
    replies = context.replies[-count:]
    assert [reply.status for reply in replies] == [429] * count
    assert all("retry-after" in reply.headers for reply in replies)


@then(
    "at most {crashes:d} engines crash, and at most {runs:d} runs with the part follow"
)
def check_crashes(context, crashes, runs):
    times = context.traffic.crash_times()
    began = context.traffic.runs_with_part()
    context.crash_times = times
    later = len(began)
    if len(times) >= crashes:
        later = sum(at > times[crashes - 1] + CONTACT_SECONDS for at in began)
    relative = [round(at - context.began_at, 2) for at in times]
    print(f"{len(times)} crashes, {len(began)} runs, {later} later: {relative}")
    assert len(times) <= crashes, relative
    assert len(times) < crashes or later <= runs, later


@then("no stream that its engine broke off looks complete")
def check_incomplete(context):
    assert not context.traffic.wrongly_whole, context.traffic.wrongly_whole


@then("sound streams are served {ratio:g} as often as before")
def check_sound(context, ratio):
    traffic = context.traffic
    times = context.crash_times
    last = times[min(len(times), MAX_CRASHES) - 1]
    before = traffic.served_share(context.began_at, traffic.crashing_since)
    after = traffic.served_share(last + 2 * CONTACT_SECONDS, context.ended_at)
    print(f"served {before:.3f} before, {after:.3f} after")
    assert after >= ratio * before, (before, after)


SYSTEM, TOOL, BAD = "digest-system", "digest-tool", "digest-bad"
ANSWERED = (
    Accepted(request=1, generation="g"),
    StreamTokens(request=1, first_index=0, tokens=["a"]),
    Ended(request=1, next_index=1),
)


@when("orders that differ in their last message lose their engines, and others don't")
def order_with_parts(context):
    lost = (ENGINE_LOST[0], PART_CRASH_SECONDS, ENGINE_LOST[1])
    links = ScriptedLinks(9, lost)
    service = GenerationService(links, ManyRetries(), 5.0)
    context.codes = []

    async def order(number, parts):
        generation = RequestedGeneration(
            "surulere", "model", "review", 1, f"{number}", 10, shared_parts=parts
        )
        links.frames = lost if BAD in parts else ANSWERED
        try:
            await service.complete(generation)
            return "served"
        except RequestRefusedError as error:
            return error.code

    async def script():
        for number in range(6):
            context.codes.append(await order(number, (SYSTEM, BAD, TOOL)))
            context.codes.append(await order(100 + number, (SYSTEM, TOOL)))
        context.lost = len(links.sent) - context.codes.count("served")

    trio.run(script, clock=MockClock(autojump_threshold=0))


@then(
    "{count:d} engines were lost, and the next order with that message is refused as"
    " not run"
)
def check_orders(context, count):
    assert context.lost == count, (context.lost, context.codes)
    assert context.codes[-2] == "quarantined", context.codes


@then("orders of the same account without that message are served")
def check_sound_orders(context):
    assert context.codes[1::2] == ["served"] * 6, context.codes


FAULTS = {
    "no other faults": {},
    "a crash by chance each 1.5 s": {"crash_every": 1.5},
    "4 engines that crash each 5 s": {"crash_every": 5.0, "crash_together": 4},
    "0.3 of the reports lost": {"lost_share": 0.3},
    "all engines that crash at once": {"crash_every": 9.0, "crash_together": 9},
}
BAD_PARTS = {"two at once": 2}


@when('six fleets get "{traffic}" with {faults}')
def play_traffic(context, traffic, faults):
    settings = PartCrashSettings(TRAFFIC[traffic], **FAULTS[faults])
    context.bad_parts = BAD_PARTS.get(traffic, 1)
    context.runs = [PartCrashRun(settings, seed) for seed in SEEDS]
    for run in context.runs:
        run.run()


@then(
    "a part crashes at most {maximum:d} engines of each fleet, and {probes:d} as a probe"
)
def check_fleets(context, maximum, probes):
    counts = [(len(run.crashes), run.probes) for run in context.runs]
    for crashes, probed in counts:
        assert crashes - probed <= maximum * context.bad_parts, counts
        assert probed <= probes * context.bad_parts, counts


@then("at most {share:g} of the sound requests are held")
def check_held(context, share):
    for run in context.runs:
        assert run.sound_held <= share * run.sound, (run.sound_held, run.sound)


@then(
    "of {count:d} parts {maximum:d} are tracked, and a crash under them accuses no others"
)
def check_many_parts(context, count, maximum):
    assert maximum == MAX_TRACKED_PARTS
    many = request_traits("x", "m", [f"{number:x}" for number in range(count)])
    account = request_traits("x", "m", ["a"]) - request_traits("y", "m", ["a"])
    assert len(many) == maximum + 1 and account & many
    quarantine = TraitQuarantine()
    for at, engine in enumerate(("e-1", "e-2")):
        quarantine.record_crash(many, engine, at)
    assert quarantine.is_held(many)
    others = request_traits("y", "m", ["0", "1"]), request_traits("x", "m", ["0", "a"])
    assert not any(quarantine.is_held(traits) for traits in others)


@then("{count:d} accused parts take no more records than allowed, and those held stay")
def check_records(context, count):
    quarantine = TraitQuarantine()
    held = request_traits("x", "m", ["bad"])
    for at, engine in enumerate(("e-1", "e-2")):
        quarantine.record_crash(held, engine, at)
    for number in range(count):
        traits = request_traits(f"account-{number}", "m", [f"{number:x}"])
        quarantine.record_crash(traits, f"f-{number}", 1.0)
    assert quarantine.is_held(held)
    assert len(quarantine._records) == MAX_RECORDS


@when('a stream is requested whose prompt has the parts "{parts}"')
@when('a stream is requested whose prompt has the parts ""')
def request_with_parts(context, parts=""):
    context.ingress = IngressWorld()
    context.ingress.add_endpoints("model", 1)

    async def script(world):
        headers = ("prompt-prefix", parts)
        context.reply = await world.call("stream", headers, size="100,40")

    context.ingress.run(script)


@then("it is answered {status:d}")
def check_status(context, status):
    assert context.reply.status == status, vars(context.reply)
    if status == 400:
        assert b'"invalid_prompt_parts"' in context.reply.body


@then("only the requests with the part are held, and not all of the account")
def check_account(context):
    quarantine = TraitQuarantine()
    bad = request_traits("x", "m", ["a", "b"])
    sound = request_traits("x", "m", ["a", "c"])
    others = request_traits("y", "m", ["a", "c"])
    for at, engine in enumerate(("e-1", "e-2", "e-3")):
        quarantine.record_crash(bad, engine, at)
    quarantine.record_crash(sound, "e-4", 4.0)
    quarantine.record_answer(others, 5.0, 5.2)
    assert quarantine.is_held(bad)
    assert not quarantine.is_held(sound)
    assert not quarantine.is_held(others)


@then(
    "two engines that crash by chance under different requests of an account hold none"
)
def check_account_by_chance(context):
    quarantine = TraitQuarantine()
    for at, engine in enumerate(("e-1", "e-2")):
        quarantine.record_crash(
            request_traits("x", "m", ["a", f"{at}"]), engine, float(at)
        )
        quarantine.record_answer(request_traits("y", "m", ["a"]), at + 0.5, at + 0.7)
    assert not quarantine.is_held(request_traits("x", "m", ["a", "c"]))
