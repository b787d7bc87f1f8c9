"""Steps for entries that other programs wrote into the list of endpoints."""

from __future__ import annotations

import tempfile
from pathlib import Path
from unittest.mock import patch

import orjson
import trio
from behave import given, then, when
from hypothesis import strategies as st
from support.core_checks import check_coded_errors, checked
from support.endpoint_entries import VALID_ENTRY
from support.ingress_world import IngressWorld
from support.stream_reading import IN_FORCE_SECONDS

from piershore.core.fleet.endpoint import EndpointStage
from piershore.platform import object_client
from piershore.platform.endpoint_codec import decode_endpoint
from piershore.platform.exceptions import InvalidObjectError
from standins import published_store

MISSING = object()
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.sampled_from([10**400, -1, 2**63, "10.0.0.1:0", "10.0.0.1:99999", "h:1", ""])
)
ANYTHING = st.recursive(
    SCALARS, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner)
)


@then("an entry is accepted only if all its fields are as endpoints write them")
def check_entries(context):
    @checked(
        st.sampled_from(sorted(VALID_ENTRY)),
        ANYTHING | st.just(MISSING),
        examples=2_000,
    )
    def check(field, value):
        entry = {**VALID_ENTRY, field: value}
        if value is MISSING:
            del entry[field]
        try:
            endpoint = decode_endpoint("i-1", entry)
        except InvalidObjectError:
            return
        assert value is not MISSING or field == "born"
        assert type(value) is type(VALID_ENTRY[field]) or field in (
            "born",
            "cold_remaining_ms",
        )
        assert endpoint.stage is EndpointStage.READY or value == "draining"
        assert endpoint.slots > 0 and endpoint.cold_seconds >= 0 and endpoint.born >= 0
        assert 0 < endpoint.address.port < 65_536
        endpoint.identity.encode("ascii")


FOREIGN_ENTRIES = {
    "an unknown state": {**VALID_ENTRY, "state": "resting"},
    "no address": {k: v for k, v in VALID_ENTRY.items() if k != "address"},
    "a number for the service": {**VALID_ENTRY, "service": 7},
    "a negative number of slots": {**VALID_ENTRY, "slots": -6},
    "an entry that is a string": "desk at 127.0.0.1:9",
    "an entry that is null": None,
    "bytes that aren't UTF-8": {**VALID_ENTRY, "service": "%BYTES%"},
    "a name that can't be sent": VALID_ENTRY,
    "a number of 401 digits": {**VALID_ENTRY, "slots": "%ENDLESS%"},
    "a start time that is a fraction": {**VALID_ENTRY, "born": 1.5},
}
FOREIGN_NAMES = {"a name that can't be sent": "i-9\r\nHost: other"}


def _raw_dumps(value):
    """Encode as the store does, but also bytes that no correct encoder writes."""
    data = orjson.dumps(value)
    data = data.replace(b'"%BYTES%"', b'"de\xff\xfesk"')
    return data.replace(b'"%ENDLESS%"', b"1" + b"0" * 400)


class _RawJson:
    """Replaces the JSON module of the store's stand-in."""

    dumps = staticmethod(_raw_dumps)
    loads = staticmethod(orjson.loads)


@given("a gateway in front of endpoints, with {entry} in their list")
def given_foreign(context, entry):
    world = context.ingress = IngressWorld()
    world.add_endpoints("desk", 3)
    world.add_endpoints("model", 2)
    context.entry_name = FOREIGN_NAMES.get(entry, "i-9")
    world.store.put("servers", context.entry_name, FOREIGN_ENTRIES[entry])
    world.log_output, context.log = tempfile.mkstemp()


@when("it reads the entry several times and then serves requests")
def serve_with_foreign_entry(context):
    async def script(world):
        _, daemon = world.gateways[0]
        for _ in range(3):
            daemon._endpoints.restart()
            await trio.sleep(0.1)
        context.replies = [await world.call("once") for _ in range(20)]
        context.known = {e.name for e in daemon._state.directory}
        context.lines = Path(context.log).read_bytes()
        context.lines += b"".join(daemon._log._handler.lines)

    with patch.object(published_store, "orjson", _RawJson):
        context.ingress.run(script)


@then("the other endpoints serve all requests, and the entry is logged once")
def check_others(context):
    assert {reply.status for reply in context.replies} == {200}
    assert context.known == {e.identity for e in context.ingress.endpoints}
    assert context.lines.count(b'"invalid_entry"') == 1, context.lines


@when("the entry of a desk endpoint is overwritten and repaired")
def overwrite_and_repair(context):
    async def script(world):
        first = world.endpoints[0]
        valid = first.entry()
        world.store.put("servers", first.identity, {**valid, "state": "resting"})
        await _wait_listed(world, first, is_listed=False)
        first.runs.clear()
        context.replies = [await world.call("once") for _ in range(20)]
        context.meanwhile = first.runs.total()
        world.store.put("servers", first.identity, valid)
        await _wait_listed(world, first, is_listed=True)
        context.replies += [await world.call("once") for _ in range(20)]
        context.after = first.runs.total()

    context.ingress.run(script)


async def _wait_listed(world, endpoint, *, is_listed):
    """Wait until the gateway's list has changed: right after its start it reads it rarely."""
    directory = world.gateways[0][1]._state.directory
    with trio.fail_after(IN_FORCE_SECONDS):
        while (directory.get(endpoint.identity) is not None) is not is_listed:
            await trio.sleep(0.005)


@then("it gets no requests in between, and requests again afterwards")
def check_repaired(context):
    assert {reply.status for reply in context.replies} == {200}
    assert context.meanwhile == 0
    assert context.after > 0


def _read_answer(data):
    answer = object_client._answer(200, data, era=0)
    items = object_client._entries(answer.body, "items")
    list(object_client._objects(items))
    list(object_client._changes(items))
    object_client._revision(answer.body.get("at"))


@then("decoding an answer of the store raises only errors with a code")
def check_answers(context):
    body = st.fixed_dictionaries({"items": st.lists(ANYTHING), "at": ANYTHING})
    encoded = body.map(lambda value: repr(value).encode("utf-8", "surrogatepass"))
    proper = body.filter(_is_encodable).map(orjson.dumps)
    check_coded_errors(_read_answer, st.binary() | encoded | proper)


def _is_encodable(value):
    try:
        orjson.dumps(value)
    except (TypeError, orjson.JSONEncodeError):
        return False
    return True
