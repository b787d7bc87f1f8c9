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
from support.stream_reading import IN_FORCE_SECONDS, wait_for_peers

from piershore.core.fleet.endpoint import EndpointStage
from piershore.platform import http_platform_store, object_client
from piershore.platform.endpoint_codec import decode_endpoint
from piershore.platform.exceptions import InvalidObjectError
from piershore.platform.http_platform_store import (
    CONFIGURATION_KIND,
    HttpPlatformStore,
)
from standins import published_store
from standins.published_store import PublishedStore

MISSING = object()
REPORTED_SECONDS = 2.5
"""Longer than a peer may be silent until it counts as lost."""
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
    "a list of 1500 levels": {**VALID_ENTRY, "slots": "%LIST%"},
    "an object of 90000 levels": {**VALID_ENTRY, "slots": "%OBJECT%"},
    "control characters in a text": {**VALID_ENTRY, "service": "%CONTROL%"},
    "a port of 5000 digits": {**VALID_ENTRY, "address": "10.0.0.1:" + "7" * 5_000},
}
RAW_TEXTS = {
    b'"%BYTES%"': b'"de\xff\xfesk"',
    b'"%ENDLESS%"': b"1" + b"0" * 400,
    b'"%LIST%"': b"[" * 1_500 + b"]" * 1_500,
    b'"%OBJECT%"': b'{"a":' * 90_000 + b"1" + b"}" * 90_000,
    b"%SURROGATE%": b"\\ud800",
    b'"%CONTROL%"': b'"de\x00\x1b\x9dsk"',
}
"""Bytes that no correct encoder writes, by the text in whose place they stand."""
FOREIGN_NAMES = {"a name that can't be sent": "i-9\r\nHost: other"}


def _raw_dumps(value):
    """Encode as the store does, but also bytes that no correct encoder writes."""
    data = orjson.dumps(value)
    for mark, raw in RAW_TEXTS.items():
        data = data.replace(mark, raw)
    return data


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


@when("{entry} is written, and then an endpoint comes")
def write_while_running(context, entry):
    async def script(world):
        world.store.put("servers", "i-foreign", FOREIGN_ENTRIES[entry])
        world.add_endpoints("desk", 1)
        context.newcomer = world.endpoints[-1]
        await world.nursery.start(context.newcomer.serve)
        world.list_endpoint(context.newcomer)
        with trio.move_on_after(IN_FORCE_SECONDS):
            await _wait_listed(world, context.newcomer, is_listed=True)
        for _ in range(40):
            await world.call("once")

    with patch.object(published_store, "orjson", _RawJson):
        context.ingress.run(script)


@then("the endpoint that came serves requests")
def check_newcomer(context):
    assert context.newcomer.runs.total() > 0


@given("{count:d} listed endpoints, of which entry {place:d} has {entry}")
def given_pages(context, count, place, entry):
    world = context.ingress = IngressWorld()
    names = [f"i-{number:03}" for number in range(count)]
    for name in names:
        world.store.put("servers", name, VALID_ENTRY)
    world.store.put("servers", names[place - 1], FOREIGN_ENTRIES[entry])
    del names[place - 1]
    context.names = set(names)


@when("a gateway starts and serves requests")
def start_gateway(context):
    async def script(world):
        _, daemon = world.gateways[0]
        context.known = {e.name for e in daemon._state.directory}

    with patch.object(published_store, "orjson", _RawJson):
        context.ingress.run(script)


@then("it knows the {count:d} other endpoints")
def check_known(context, count):
    assert len(context.names) == count
    assert context.known == context.names


VALID_OBJECT = {"value": "e30=", "write_ids": ["w-1"]}
FOREIGN_OBJECTS = {
    "a spec that is a string": ("ClientAccount:odd", "accounts"),
    "no value": ("ClientAccount:odd", {"write_ids": []}),
    "a value that isn't base64": ("ClientAccount:odd", {**VALID_OBJECT, "value": "%"}),
    "write ids that aren't": ("ClientAccount:odd", {**VALID_OBJECT, "write_ids": 7}),
    "a list of 1500 levels": ("ClientAccount:odd", {**VALID_OBJECT, "era": "%LIST%"}),
    "a kind that is unknown": ("shelf:odd", VALID_OBJECT),
    "a name that can't be sent": ("ClientAccount:%SURROGATE%", VALID_OBJECT),
}
VALID_BOX = {
    "role": "gateway",
    "data_hall": "ikeja",
    "peer_address": "127.0.0.1:9",
    "state": "live",
}


async def _read_beside(name, spec):
    """Return what the store's list, watch and list of boxes hold beside an object."""
    store = PublishedStore()
    platform = None
    async with trio.open_nursery() as nursery:
        await nursery.start(store.serve)
        platform = HttpPlatformStore(f"http://127.0.0.1:{store.port}")
        store.put(CONFIGURATION_KIND, "ClientAccount:a", VALID_OBJECT)
        store.put(CONFIGURATION_KIND, name, spec)
        listed = await platform.list()
        store.put(CONFIGURATION_KIND, name, {"again": spec})
        store.remove(CONFIGURATION_KIND, name)
        store.put(CONFIGURATION_KIND, "ClientAccount:b", VALID_OBJECT)
        watched = []
        async for item in platform.watch(listed.revision):
            if isinstance(item, int):
                break
            watched.append(item)
        for box, fields in (("a", VALID_BOX), (name, spec), ("b", VALID_BOX)):
            store.put("crates", box, fields)
        with patch.object(http_platform_store, "BOX_KIND", "crates"):
            boxes = await platform.boxes()
        await platform.close()
        nursery.cancel_scope.cancel()
    live = [item.name.name for item in watched if item.value is not None]
    return [item.name.name for item in listed.objects], live, [b.name for b in boxes]


@then(
    "its list, its watch and its list of boxes hold all other objects beside {content}"
)
def check_own_store(context, content):
    name, spec = FOREIGN_OBJECTS[content]
    with patch.object(published_store, "orjson", _RawJson):
        listed, watched, boxes = trio.run(_read_beside, name, spec)
    is_content_valid = content == "a list of 1500 levels"
    assert listed == (["a", "odd"] if is_content_valid else ["a"]), listed
    assert watched == ["b"], watched
    assert boxes == ["a", "b"], boxes


@when("a drain of a data hall with a lone surrogate in its name is written")
def write_drain(context):
    async def script(world):
        await wait_for_peers(world)
        world.store.put("evacuations", "%SURROGATE%", {})
        await trio.sleep(REPORTED_SECONDS)
        context.states = [daemon._state for _, daemon in world.gateways.values()]
        context.counts = [state.gateway_count for state in context.states]

    with patch.object(published_store, "orjson", _RawJson):
        context.ingress.run(script)


@then("both gateways go on reporting to each other")
def check_reporting(context):
    assert context.counts == [2, 2], context.counts


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
