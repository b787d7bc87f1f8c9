"""Steps for the answers of the HTTP API and for the commands."""

from __future__ import annotations

import os
import shlex
import subprocess
import sys

from behave import then, when
from support.world import MODEL, SERVICE

from devtools.deployment import OPERATOR_KEY

KEY = {"Authorization": "Bearer key-surulere"}
JSON = {"Content-Type": "application/json"}


def chat(**changes):
    import orjson

    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "length=3"}],
        "metadata": {"kind": "stack_up_check"},
    }
    body.update(changes)
    return orjson.dumps(body)


REQUESTS = {
    "malformed JSON": (b'{"model": ', {}),
    "an empty body": (b"", {}),
    "an empty object": (b"{}", {}),
    "bytes that aren't UTF-8": (b"\xff\xfe\x00{", {}),
    "a list instead of an object": (b"[]", {}),
    "an unknown field": (chat(colour="red"), {}),
    "a wrong type": (chat(stream="yes"), {}),
    "no messages": (chat(messages=[]), {}),
    "max_tokens of 0": (chat(max_tokens=0), {}),
    "an unknown service": (chat(model="nowhere"), {}),
    "an unknown kind": (chat(metadata={"kind": "x"}), {}),
    "a plain service": (chat(model=SERVICE), {}),
    "text/plain": (chat(), {"Content-Type": "text/plain"}),
    "no bearer key": (chat(), {"Authorization": ""}),
    "the operator's key": (b"", {"Authorization": f"Bearer {OPERATOR_KEY}"}),
    "a body of 2 MB": (b" " * 2_000_000, {}),
    "a field of 600 KB": (
        chat(messages=[{"role": "user", "content": "x" * 600_000}]),
        {},
    ),
    "headers of 20 KB": (chat(), {"X-Filler": "x" * 20_000}),
    "a malformed Last-Event-ID": (chat(stream=True), {"Last-Event-ID": "a/b"}),
    "a Last-Event-ID of an unknown agent": (
        chat(stream=True),
        {"Last-Event-ID": "a/b/c/3"},
    ),
}


@then("the requests are answered as follows")
def check_requests(context):
    world = context.world
    faults = []
    for row in context.table:
        content, headers = REQUESTS[row["sent"]]
        answer = world.deployment.client.post(
            world.deployment.url("gateway-1") + row["path"],
            content=content,
            headers={**KEY, **JSON, **headers},
        )
        body = (
            answer.json() if answer.content.startswith(b"{") else {"code": answer.text}
        )
        if (answer.status_code, body["code"]) != (int(row["status"]), row["code"]):
            faults.append((row["path"], row["sent"], answer.status_code, body))
        if answer.headers["Content-Type"] != "application/problem+json":
            faults.append((row["sent"], answer.headers))
        if body.get("outcome") not in ("not_run", "unknown"):
            faults.append((row["sent"], body))
    assert not faults, faults


ACCOUNT = {"template": "prototyping-shop", "services": []}
HOURS = {"time_zone": "Mars/Olympus", "start": "08:00", "end": "09:00"}
EDITS = {
    "a patch without If-Match": ("PATCH", "accounts/yaba", {}, {}),
    "a patch of an old version": ("PATCH", "accounts/yaba", {}, {"If-Match": '"1"'}),
    "an account with an unknown template": (
        "PUT",
        "accounts/new",
        {**ACCOUNT, "template": "none"},
        {"If-None-Match": "*"},
    ),
    "an account with an unknown field": (
        "PUT",
        "accounts/new",
        {**ACCOUNT, "colour": "red"},
        {"If-None-Match": "*"},
    ),
    "a template in an unknown time zone": (
        "PUT",
        "templates/new",
        {"parameters": {"working_hours": HOURS}},
        {"If-None-Match": "*"},
    ),
    "a service with 0 slots": (
        "PUT",
        "services/new",
        {"type": "plain", "kinds": ["a"], "slots": 0},
        {"If-None-Match": "*"},
    ),
    "a deletion of a template in use": (
        "DELETE",
        "templates/prototyping-shop",
        None,
        {"If-Match": '"2"'},
    ),
    "a deletion of a missing object": (
        "DELETE",
        "accounts/nobody",
        None,
        {"If-Match": '"2"'},
    ),
    "an unknown collection": ("GET", "ships/one", None, {}),
    "a rollout of a non-numeric version": ("GET", "rollout/x", None, {}),
    "a request with an account's key": ("GET", "accounts", None, KEY),
}


@then("the edits are answered as follows")
def check_edits(context):
    faults = []
    for row in context.table:
        method, path, body, headers = EDITS[row["edit"]]
        answer = context.world.deployment.admin(
            "gateway-1", method, path, body, headers
        )
        answered = (answer.status_code, answer.json()["code"])
        if answered != (int(row["status"]), row["code"]):
            faults.append((row["edit"], answered, answer.text))
    assert not faults, faults


@then("the commands exit as follows")
def check_commands(context):
    world = context.world
    environment = {
        **os.environ,
        "PIERSHORE_GATEWAY": world.deployment.url("gateway-1"),
        "PIERSHORE_OPERATOR_KEY": OPERATOR_KEY,
    }
    faults = []
    for row in context.table:
        process = subprocess.run(
            [sys.executable, "-m", "piershore", *shlex.split(row["command"])],
            env=environment,
            check=False,
            capture_output=True,
            text=True,
        )
        output = process.stdout + process.stderr
        if process.returncode != int(row["exit"]) or row["output"] not in output:
            faults.append((row["command"], process.returncode, output))
    assert not faults, faults


@when("a call is refused for its unknown kind")
def refuse_kind(context):
    assert context.world.caller().call(SERVICE, "nothing").code == "unknown_kind"


@then("the gateway's counters show {reason} as {outcome}")
def check_counter(context, reason, outcome):
    world = context.world
    text = world.deployment.client.get(world.deployment.url("gateway-1") + "/metrics")
    line = f'piershore_refusals_total{{outcome="{outcome}",reason="{reason}"}} 1.0'
    assert line in text.text, text.text
