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

STARTED_AT = datetime(2026, 1, 1, tzinfo=UTC)
BOX = "front-1"
REQUEST = "abc"
TARGET_LATENCY_SECONDS = 1.0


def line(event, at, request=REQUEST, **fields):
    time = (STARTED_AT + timedelta(seconds=at)).isoformat()
    record = {"time": time, "box": BOX, "event": event, "request": request, **fields}
    return orjson.dumps(record)


def answered(request=REQUEST, at=2.0, **fields):
    defaults = {
        "endpoint": "i-1",
        "status": 200,
        "seconds": 0.5,
        "first_seconds": 0.5,
        "longest_pause": 0.0,
        "moves": 0,
        "made_tokens": 0,
        "aim": TARGET_LATENCY_SECONDS,
    }
    return line("request_answered", at, request, **{**defaults, **fields})


RESTARTED = line("process_started", 9.0, "", incarnation="other")
LAST_LINES = {
    "complete in time": answered(),
    "complete after the target latency": answered(first_seconds=1.5),
    "stream with a late first event": answered(first_seconds=1.5, made_tokens=8),
    "stream with a pause": answered(longest_pause=0.3, made_tokens=8),
    "status 500 from the endpoint": answered(status=500),
    "refused": line("request_refused", 2.0, status=503, code="no_endpoint"),
    "broken off": line("stream_broken_off", 2.0, reason="reset"),
    "caller disconnected": line("caller_gone", 2.0),
    "gateway restarted": RESTARTED,
    "no further line": line("process_started", 0.5, "", incarnation="own"),
    "gateway restarted, behind a truncated line": RESTARTED[:40] + RESTARTED,
}


def run_losses(*arguments):
    return run_command("losses", *arguments)


def run_command(name, *arguments):
    command = [sys.executable, "-m", "piershore", name, *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def write_log(context, lines):
    context.file = Path(tempfile.mkdtemp(prefix="losses-")) / "front-1.log"
    context.file.write_bytes(b"\n".join(lines) + b"\n")


@given('logs in which a request\'s last line is "{last}"')
def given_last_line(context, last):
    attempt = line("attempt_started", 1.0, route="report", endpoint="i-1", attempt=1)
    write_log(context, [attempt, LAST_LINES[last]])


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
    write_log(context, lines)


@when("the losses are requested")
def request_losses(context):
    context.text_result = run_losses(str(context.file))
    result = run_losses(str(context.file), "--output", "json")
    assert result.returncode == ExitCode.OK, result.stderr
    context.review = orjson.loads(result.stdout)


@then('its cause is "{cause}"')
def check_cause(context, cause):
    causes = [loss["cause"] for loss in context.review["losses"]]
    assert causes == ([] if cause == "none" else [cause]), causes
    assert context.review["requests"] == 1
    assert cause == "none" or cause in context.text_result.stdout


@then("the engines' paces are {fast:g} and {slow:g} times the bound")
def check_paces(context, fast, slow):
    rows = [text.split() for text in context.text_result.stdout.splitlines()]
    of_bound = {row[0]: float(row[4]) for row in rows if row and row[0][:2] == "i-"}
    assert of_bound == {"i-fast": fast, "i-slow": slow}, of_bound


@then("the command fails and names the error")
def check_errors(context):
    write_log(context, [RESTARTED])
    empty = run_losses(str(context.file))
    assert empty.returncode == ExitCode.FAILED and "no line names" in empty.stderr
    missing = run_losses(str(context.file.with_name("none.log")))
    assert missing.returncode == ExitCode.FAILED and "none.log" in missing.stderr


@given("logs in which {count:d} generations make twice the expected tokens")
def given_longer_generations(context, count):
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
def review_length_estimates(context):
    context.command_result = run_command(
        "beliefs", str(context.file), "--window", "60", "--output", "json"
    )
    context.empty_result = run_command("beliefs", "/dev/null")


@then("actual over expected tokens is 2.0, and the command fails without generations")
def check_length_estimates(context):
    assert context.command_result.returncode == ExitCode.OK, (
        context.command_result.stderr
    )
    (row,) = orjson.loads(context.command_result.stdout)
    assert row["route"] == "review"
    assert row["generations"] == 100
    assert row["made/expected"] == 2.0
    assert context.empty_result.returncode == ExitCode.FAILED
