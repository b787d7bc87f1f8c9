"""Steps for numbers that other processes, callers and operators got wrong."""

from __future__ import annotations

import json
from collections.abc import Iterator
from copy import deepcopy

import orjson
import trio
from behave import then
from hypothesis import strategies as st
from support.core_checks import checked
from support.endpoint_entries import VALID_ENTRY
from support.peer_reports import peer_report

from piershore.core.documents.document import Document, DocumentChunk
from piershore.core.documents.exceptions import InvalidChunksError
from piershore.core.documents.splitting import join
from piershore.core.fleet.drained_halls import DrainedHalls
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.endpoint_rate_limits import RateReport
from piershore.core.fleet.evacuation_plan import StreamReport
from piershore.core.fleet.load_update import LoadUpdate
from piershore.core.fleet.output_lengths import LengthSums
from piershore.core.fleet.peer_report import PeerReport
from piershore.core.fleet.shared_failures import OutcomeCounts
from piershore.core.fleet.speed_report import ReportedSpeed, SpeedReport
from piershore.core.fleet.store_revision import StoreRevision
from piershore.core.numbers import MAX_NUMBER
from piershore.core.quarantine.crash_report import (
    CrashReport,
    decode_reports,
    encode_reports,
)
from piershore.errors import PiershoreError
from piershore.http1.message import RequestHead
from piershore.ingress.peers.endpoint_document import read_endpoints
from piershore.platform import object_client
from piershore.platform.box_settings_file import read_box_settings
from piershore.platform.endpoint_codec import decode_endpoint
from piershore.platform.feeds import build_document
from piershore.platform.headers import MAX_TOKENS, PlatformDialect
from piershore.platform.routing_codec import decode_partial_configuration
from piershore.settings.document import read_documents

INVALID_NUMBERS = (
    2**1024,
    -(2**1024),
    10**4_000,
    2**64,
    1e300,
    -1,
    -0.5,
    float("inf"),
    float("-inf"),
    float("nan"),
    True,
    "7",
    "9" * 4_000,
    "nan",
    [7],
)
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/",
            "service": "s",
            "weighted_services": [{"service": "s", "weight": 0.5}],
            "timeout_ms": 2_500,
            "target_latency_ms": 300.0,
            "priority": 1,
            "max_attempts": 2,
        }
    ],
    "services": [
        {
            "name": "s",
            "cold_start_s": 2.5,
            "cold_per_s": 3,
            "engine": {
                "slots": 24,
                "kv_capacity_tokens": 27_000,
                "kv_token_bytes": 300,
                "link_mbps": 1_000,
            },
        }
    ],
    "tenants": [{"name": "t", "priority": 2, "api_keys": ["k"]}],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 1_048_576,
        "header_timeout_ms": 5_000,
        "idle_timeout_ms": 30_000,
    },
}
REPORT = {
    "loads": {"i-1": EndpointLoad(1, 2, 3, 4)},
    "leaving": {"i-2": (StreamReport("q", 7, False, False),)},
    "outcomes": {"i-1": OutcomeCounts(1, 2)},
    "cold": {"i-3": 1.5},
    "drained": DrainedHalls(5, frozenset({"h"})),
    "lengths": {"r": LengthSums(1.0, 2.0, 3.0, 4.0, 5.0)},
    "rate_limits": {"i-4": RateReport(2.5, 0.5)},
}
PEER_ENDPOINT = ["i-1", "s", "127.0.0.1:9", "h", 6, "ready", 1_700_000_000_000]
SETTINGS_FILE = {
    "node_name": "b",
    "zone": "h",
    "ip": "127.0.0.1",
    "listen.front": "127.0.0.1:1",
    "listen.ready": "127.0.0.1:2",
    "platform.address": "127.0.0.1:3",
    "internal_port_range": "4,5",
    "limits.link_mbps": 10,
    "bounds.grace_s": 8,
    "bounds.contact_ms": 3_000,
    "bounds.evacuate_ms": 5_000,
    "bounds.retry_budget_ratio": 0.2,
    "bounds.retry_budget_slack": 20,
    "bounds.retry_window_s": 10,
}
GATEWAY_SETTINGS = {
    "retry_share": 0.1,
    "aperture": 32,
    "request_timeout": 600.0,
    "leave_notice": 1.0,
    "box_list_period": 2.0,
    "caps": {"body_bytes": 9, "header_bytes": 9, "field_bytes": 9},
}
AGENT_SETTINGS = {
    "retained_tokens": 9,
    "resume_grace": 30.0,
    "flush_interval": 0.01,
    "stall_timeout": 5.0,
    "ownership": {
        "lease_length": 10_000,
        "takeover_grace": 1_000,
        "retention": 600_000,
        "answers_kept": 9,
        "clock_allowance": 5_000,
    },
}


def _full_report() -> PeerReport:
    fields = vars(peer_report("10.0.0.1", 4)) | REPORT
    return PeerReport(**fields)


def _decode_settings_file(fields: dict) -> None:
    lines = (f"{name}={value}" for name, value in fields.items())
    read_box_settings("f", "\n".join(lines))


def _decode_settings(kind: str, texts: dict, spec: dict) -> None:
    root = {"kind": kind, "name": "n", "spec": texts | spec}
    text = json.dumps(root).replace("Infinity", ".inf").replace("NaN", ".nan")
    read_documents("f", text)


def _decode_list(body: dict) -> None:
    answer = object_client._answer(200, _json(body), era=0)
    object_client._answer_revision(answer)
    list(object_client._objects(object_client._entries(answer.body, "items")))


def _read_peer_endpoints(entry: list) -> None:
    chunk = DocumentChunk.of(_json({"endpoints": [entry]}))
    try:
        list(read_endpoints(Document(1, (chunk,))))
    except ValueError as error:
        raise InvalidChunksError(str(error)) from error


async def _build(spec: dict) -> Document:
    read = object_client._decode_json(_json(spec))
    return await build_document(read, StoreRevision(7))


def _join(document: Document) -> dict:
    return join(document.chunks)


def _json(value: object) -> bytes:
    return json.dumps(value).encode()


GATEWAY_TEXTS = {
    "data_hall": "h",
    "listen": "127.0.0.1:1",
    "peer_listen": "127.0.0.1:2",
    "platform_url": "http://127.0.0.1:3",
}
AGENT_TEXTS = {
    "data_hall": "h",
    "service": "s",
    "listen": "127.0.0.1:1",
    "platform_url": "http://127.0.0.1:3",
    "endpoint_url": "http://127.0.0.1:4",
}
SPEED_REPORT = SpeedReport("h", "l", 3, (ReportedSpeed("i-1", 0.02, 64, 0.1),))
INPUTS = {
    "an endpoint entry": (VALID_ENTRY, lambda entry: decode_endpoint("i-1", entry)),
    "a configuration": (CONFIGURATION, decode_partial_configuration),
    "a stored configuration": (
        CONFIGURATION,
        lambda spec: decode_partial_configuration(_join(trio.run(_build, spec))),
    ),
    "a peer's report": (
        orjson.loads(_full_report().encode()),
        lambda fields: PeerReport.decode(_json(fields)),
    ),
    "a load update": (
        orjson.loads(LoadUpdate("h", "l", 3, "i-1", EndpointLoad(1)).encode()[1:]),
        lambda fields: LoadUpdate.decode(b"+" + _json(fields)),
    ),
    "a speed report": (
        orjson.loads(SPEED_REPORT.encode()[1:]),
        lambda fields: SpeedReport.decode(b"~" + _json(fields)),
    ),
    "crash reports": (
        orjson.loads(encode_reports([CrashReport("c", frozenset("ab"))])[1:]),
        lambda fields: decode_reports(b"!" + _json(fields)),
    ),
    "a peer's endpoints": (PEER_ENDPOINT, _read_peer_endpoints),
    "a list of objects": ({"items": [], "at": 7}, _decode_list),
    "a settings file": (SETTINGS_FILE, _decode_settings_file),
    "gateway settings": (
        GATEWAY_SETTINGS,
        lambda spec: _decode_settings("Gateway", GATEWAY_TEXTS, spec),
    ),
    "agent settings": (
        AGENT_SETTINGS,
        lambda spec: _decode_settings("Agent", AGENT_TEXTS, spec),
    ),
}
UNTYPED_INPUTS = {"a settings file"}
"""Inputs in which a text is also a number."""


def _number_paths(value: object, path: tuple = ()) -> Iterator[tuple]:
    """Yield where a document holds numbers."""
    if type(value) in (int, float):
        yield path
    elif isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, inner in items:
            yield from _number_paths(inner, (*path, key))


def _replaced(document: object, path: tuple, number: object) -> object:
    changed = deepcopy(document)
    inner = changed
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = number
    return changed


def _assert_rejected(decode, value: object) -> None:
    try:
        decode(value)
    except PiershoreError as error:
        assert error.code
        return
    raise AssertionError(f"accepted {str(value)[:300]}")


@then("an entry whose cold time is 2**1024 or -2**1024 ms is rejected with a code")
def check_large_cold_time(context):
    for number in (2**1024, -(2**1024)):
        entry = {**VALID_ENTRY, "cold_remaining_ms": number}
        _assert_rejected(lambda fields: decode_endpoint("i-1", fields), entry)


@then("{name} is decoded, but rejected with a code after any of its numbers is spoilt")
def check_invalid_numbers(context, name):
    document, decode = INPUTS[name]
    decode(document)
    for path in _number_paths(document):
        for number in INVALID_NUMBERS:
            if name in UNTYPED_INPUTS and number == "7":
                continue
            _assert_rejected(decode, _replaced(document, path, number))


def _read_request(**headers: bytes):
    named = tuple((k.replace("_", "-").encode(), v) for k, v in headers.items())
    return PlatformDialect().read_request(RequestHead(b"POST", b"/", named))


@then("a request with an impossible count or deadline is refused with a code")
def check_impossible_headers(context):
    spoilt = [b"-1", b"1e300", b"nan", b"\xb2", b"9" * 30, b"9" * 5_000, b""]
    for text in spoilt:
        _assert_rejected(lambda value: _read_request(deadline_ms=value), text)
        for counts in (text + b",5", b"5," + text):
            _assert_rejected(lambda value: _read_request(token_usage=value), counts)


@then("a hint of any size is accepted, and at most as large as a count")
def check_hints(context):
    @checked(st.floats(allow_nan=False) | st.integers(-(10**400), 10**400))
    def check(hint):
        text = str(hint).encode()
        request = _read_request(token_usage=b"5,5", length_hint=text)
        assert 0 <= request.size.hinted_tokens <= MAX_TOKENS < MAX_NUMBER
