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

MAX_VIEW_AGE_SECONDS = 3.0
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


async def before_configuration(world):
    world.store.fault = StoreFault.BUSY
    await world.start_gateway(0, wait=False)
    await world.call("once", request="abc")


async def after_ejection(world):
    _, daemon = world.gateways[0]
    failing = world.endpoints[0].identity
    while not daemon._state.health.is_ejected(failing, trio.current_time()):
        daemon._state.health.record_failure(failing, trio.current_time())
    await world.call("once", request="abc")


OUTCOMES = {
    "was refused by all endpoints": (refused_by_all, "desk", ["not run"] * 9),
    "may have run": (refused_by_all, "desk", ["reset"]),
    "was moved": (moved, "model", []),
    "was broken off": (broken_off, "model", []),
    "arrived after an ejection": (after_ejection, "desk", []),
    "arrived before any configuration": (before_configuration, "desk", []),
}


@given("the logs of a gateway at which a request {outcome}")
def given_logs(context, outcome):
    script, service, faults = OUTCOMES[outcome]
    world = IngressWorld()
    world.add_endpoints(service, 3)
    for endpoint in world.endpoints:
        endpoint.faults = faults
    if script is before_configuration:
        world._start_gateways = 0
    context.file = Path(tempfile.mkdtemp()) / "front-0.log"
    with context.file.open("wb") as stream:
        world.log_output = stream.fileno()

        async def run_script(world):
            await script(world)
            for _, daemon in world.gateways.values():
                daemon._log.flush()

        world.run(run_script)


def run_explain(*arguments):
    command = [sys.executable, "-m", "piershore", "explain", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@when("its timeline is requested")
def request_timeline(context):
    result = run_explain("abc", str(context.file), "--output=json")
    assert result.returncode == 0, result.stderr
    context.timeline = orjson.loads(result.stdout)
    result = run_explain("abc", str(context.file))
    assert len(result.stdout.splitlines()) == len(context.timeline)


@then("the timeline has {words} in this order")
def check_timeline(context, words):
    values = iter(
        str(value)
        for line in context.timeline
        for value in (line["event"], line.get("outcome"), line.get("code"))
    )
    for word in words.split(","):
        assert any(word.strip() == value for value in values), (word, context.timeline)


@then("invalid log lines are skipped and an unknown request is reported")
def check_invalid_lines(context):
    with tempfile.NamedTemporaryFile(suffix=".log") as file:
        file.write(b'{"time": "x"}\nnot json\n{"time":"2026-01-01T00:00:00Z","bo')
        file.flush()
        result = run_explain("abc", file.name)
    assert result.returncode == ExitCode.FAILED
    assert "no line names request abc" in result.stderr
    assert run_explain("abc", "/no/such/file").returncode == ExitCode.FAILED


@then("each attempt lists the endpoints that were not chosen")
def check_alternatives(context):
    attempts = [line for line in context.timeline if line["event"] == "attempt_started"]
    assert [len(attempt["others"]) for attempt in attempts] == [2, 1, 0], attempts
    for attempt in attempts:
        for other in attempt["others"]:
            assert other["endpoint"] != attempt["endpoint"]
            assert other["cost"] + 0.001 >= attempt["cost"]
            assert other["known_requests"] == other["known_tokens"] == 0
        assert 0 <= attempt["view_age"] < MAX_VIEW_AGE_SECONDS


@then("its attempt lists the ejected endpoint")
def check_ejected_endpoint(context):
    attempt = next(
        line for line in context.timeline if line["event"] == "attempt_started"
    )
    assert attempt["ejected"] == ["i-0"], attempt
