"""Steps for the review of lost and late requests, and of length estimates."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from datetime import datetime, timedelta, UTC
from pathlib import Path

import orjson
from behave import given, then, when

from piershore.commands.command import ExitCode

BEGAN = datetime(2026, 1, 1, tzinfo=UTC)
BOX = "front-1"
REQUEST = "abc"
AIM_SECONDS = 1.0


def line(event, at, request=REQUEST, **fields):
    time = (BEGAN + timedelta(seconds=at)).isoformat()
    record = {"time": time, "box": BOX, "event": event, "request": request, **fields}
    return orjson.dumps(record)


def answered(request=REQUEST, at=2.0, **fields):
    usual = {
        "endpoint": "i-1",
        "status": 200,
        "seconds": 0.5,
        "first_seconds": 0.5,
        "longest_pause": 0.0,
        "moves": 0,
        "made_tokens": 0,
        "aim": AIM_SECONDS,
    }
    return line("request_answered", at, request, **{**usual, **fields})


STARTED_AGAIN = line("process_started", 9.0, "", incarnation="other")
LAST_LINES = {
    "complete in time": answered(),
    "complete after the target latency": answered(first_seconds=1.5),
    "stream with a late first event": answered(first_seconds=1.5, made_tokens=8),
    "stream with a pause": answered(longest_pause=0.3, made_tokens=8),
    "status 500 from the endpoint": answered(status=500),
    "refused": line("request_refused", 2.0, status=503, code="no_endpoint"),
    "broken off": line("stream_broken_off", 2.0, reason="reset"),
    "caller disconnected": line("caller_gone", 2.0),
    "gateway restarted": STARTED_AGAIN,
    "no further line": line("process_started", 0.5, "", incarnation="own"),
    "gateway restarted, behind a truncated line": STARTED_AGAIN[:40] + STARTED_AGAIN,
}


def ask(*arguments):
    return ask_verb("losses", *arguments)


def ask_verb(verb, *arguments):
    command = [sys.executable, "-m", "piershore", verb, *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def write(context, lines):
    context.file = Path(tempfile.mkdtemp(prefix="losses-")) / "front-1.log"
    context.file.write_bytes(b"\n".join(lines) + b"\n")


@given('logs in which a request\'s last line is "{last}"')
def given_last(context, last):
    began = line("attempt_started", 1.0, route="report", endpoint="i-1", attempt=1)
    write(context, [began, LAST_LINES[last]])


@given(
    "logs of {many:d} long streams at {fast:d} ms per token and {few:d} at {slow:d} ms "
    "at another engine"
)
def given_paces(context, many, fast, few, slow):
    tokens = 500

    def stream(name, engine, ms):
        seconds = 0.5 + tokens * ms / 1_000
        return answered(name, endpoint=engine, seconds=seconds, made_tokens=tokens)

    lines = [stream(f"a-{n}", "i-fast", fast) for n in range(many)]
    lines += [stream(f"b-{n}", "i-slow", slow) for n in range(few)]
    write(context, lines)


@when("the losses are requested")
def ask_losses(context):
    context.shown = ask(str(context.file))
    done = ask(str(context.file), "--output", "json")
    assert done.returncode == ExitCode.OK, done.stderr
    context.review = orjson.loads(done.stdout)


@then('its cause is "{cause}"')
def check_cause(context, cause):
    causes = [loss["cause"] for loss in context.review["losses"]]
    assert causes == ([] if cause == "none" else [cause]), causes
    assert context.review["requests"] == 1
    assert cause == "none" or cause in context.shown.stdout


@then("the engines' paces are {fast:g} and {slow:g} times the bound")
def check_paces(context, fast, slow):
    rows = [text.split() for text in context.shown.stdout.splitlines()]
    of_bound = {row[0]: float(row[4]) for row in rows if row and row[0][:2] == "i-"}
    assert of_bound == {"i-fast": fast, "i-slow": slow}, of_bound


@then("the command fails and names the error")
def check_no_request(context):
    write(context, [STARTED_AGAIN])
    empty = ask(str(context.file))
    assert empty.returncode == ExitCode.FAILED and "no line names" in empty.stderr
    missing = ask(str(context.file.with_name("none.log")))
    assert missing.returncode == ExitCode.FAILED and "none.log" in missing.stderr


@given("logs in which {count:d} generations make twice the expected tokens")
def given_longer(context, count):
    lines = []
    for number in range(count):
        request, at = f"r-{number}", number * 0.1
        sizes = {"expected_tokens": 100 + number, "hinted_tokens": 90}
        lines.append(
            line("attempt_started", at, request, route="review", endpoint="i", **sizes)
        )
        made = 2 * (100 + number)
        lines.append(answered(request, at + 1.0, made_tokens=made))
    context.file = Path(tempfile.mkdtemp(prefix="beliefs-")) / "front-1.log"
    context.file.write_bytes(b"\n".join(lines) + b"\n")


@when("the length estimates are reviewed")
def ask_beliefs(context):
    context.asked = ask_verb(
        "beliefs", str(context.file), "--window", "60", "--output", "json"
    )
    context.empty = ask_verb("beliefs", "/dev/null")


@then("actual over expected tokens is 2.0, and the command fails without generations")
def check_beliefs(context):
    assert context.asked.returncode == ExitCode.OK, context.asked.stderr
    (row,) = orjson.loads(context.asked.stdout)
    assert row["route"] == "review"
    assert row["generations"] == 100
    assert row["made/expected"] == 2.0
    assert context.empty.returncode == ExitCode.FAILED
