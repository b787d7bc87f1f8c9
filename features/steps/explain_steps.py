"""Steps for the timeline of one request."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

import orjson
import trio
from behave import given, then, when
from ingress_stream_steps import say_leaving
from support.ingress_world import IngressWorld
from support.stream_reading import SMALL_SIZE, StreamReading

from piershore.commands.command import ExitCode
from standins.published_store import StoreFault

LONGEST_VIEW_AGE_SECONDS = 3.0
"""A peer's report expires after this time."""


async def refused_by_all(world):
    await world.call("once", request="abc")


async def moved(world):
    reading = StreamReading(world, 60, SMALL_SIZE)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reading.read)
        await reading.wait_for_events(10)
        await say_leaving(world, reading, False)


async def broken_off(world):
    reading = StreamReading(world, 60, SMALL_SIZE)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reading.read)
        await reading.wait_for_events(10)
        reading.running_endpoint().crash()


async def too_early(world):
    world.store.fault = StoreFault.BUSY
    await world.start_gateway(0, wait=False)
    await world.call("once", request="abc")


async def after_ejection(world):
    _, daemon = world.gateways[0]
    failing = world.endpoints[0].identity
    while not daemon._state.health.is_ejected(failing, trio.current_time()):
        daemon._state.health.record_failure(failing, trio.current_time())
    await world.call("once", request="abc")


FATES = {
    "was refused by all endpoints": (refused_by_all, "desk", ["not run"] * 9),
    "may have run": (refused_by_all, "desk", ["reset"]),
    "was moved": (moved, "model", []),
    "was broken off": (broken_off, "model", []),
    "arrived after an ejection": (after_ejection, "desk", []),
    "arrived before any configuration": (too_early, "desk", []),
}


@given("the logs of a gateway at which a request {fate}")
def given_logs(context, fate):
    script, service, faults = FATES[fate]
    world = IngressWorld()
    world.add_endpoints(service, 3)
    for endpoint in world.endpoints:
        endpoint.faults = faults
    if script is too_early:
        world._start_gateways = 0
    context.file = Path(tempfile.mkdtemp()) / "front-0.log"
    with context.file.open("wb") as stream:
        world.log_output = stream.fileno()

        async def play(world):
            await script(world)
            for _, daemon in world.gateways.values():
                daemon._log.flush()

        world.run(play)


def explain(*arguments):
    command = [sys.executable, "-m", "piershore", "explain", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@when("its timeline is requested")
def ask(context):
    done = explain("abc", str(context.file), "--output=json")
    assert done.returncode == 0, done.stderr
    context.story = orjson.loads(done.stdout)
    done = explain("abc", str(context.file))
    assert len(done.stdout.splitlines()) == len(context.story)


@then("the timeline has {words} in this order")
def check_story(context, words):
    told = iter(
        str(value)
        for line in context.story
        for value in (line["event"], line.get("outcome"), line.get("code"))
    )
    for word in words.split(","):
        assert any(word.strip() == value for value in told), (word, context.story)


@then("invalid log lines are skipped and an unknown request is reported")
def check_faulty(context):
    with tempfile.NamedTemporaryFile(suffix=".log") as file:
        file.write(b'{"time": "x"}\nnot json\n{"time":"2026-01-01T00:00:00Z","bo')
        file.flush()
        done = explain("abc", file.name)
    assert done.returncode == ExitCode.FAILED
    assert "no line names request abc" in done.stderr
    assert explain("abc", "/no/such/file").returncode == ExitCode.FAILED


@then("each attempt lists the endpoints that were not chosen")
def choice_tells_others(context):
    choices = [line for line in context.story if line["event"] == "attempt_started"]
    assert [len(choice["others"]) for choice in choices] == [2, 1, 0], choices
    for choice in choices:
        for other in choice["others"]:
            assert other["endpoint"] != choice["endpoint"]
            assert other["cost"] + 0.001 >= choice["cost"]
            assert other["known_requests"] == other["known_tokens"] == 0
        assert 0 <= choice["view_age"] < LONGEST_VIEW_AGE_SECONDS


@then("its attempt lists the ejected endpoint")
def choice_names_ejected(context):
    choice = next(line for line in context.story if line["event"] == "attempt_started")
    assert choice["ejected"] == ["i-0"], choice
