"""Steps for the delivery of events, parsers and the log."""

from __future__ import annotations

import os
import select
from random import Random
from unittest.mock import patch

import orjson
import trio
from behave import then, when
from hypothesis import strategies as st
from support.core_checks import check_coded_errors, checked
from support.ingress_world import configuration

from piershore.core.documents.splitting import split
from piershore.core.fleet.load_update import LOAD_UPDATE_PREFIX, LoadUpdate
from piershore.core.fleet.peer_report import PeerReport
from piershore.core.fleet.speed_report import SPEED_REPORT_PREFIX, SpeedReport
from piershore.core.streams.delivered_events import DeliveredEvents
from piershore.core.streams.event_splitter import EventSplitter
from piershore.http1.message import RequestHead
from piershore.platform.box_settings_file import read_box_settings
from piershore.platform.endpoint_codec import decode_endpoint
from piershore.platform.headers import PlatformDialect
from piershore.platform.routing_codec import (
    decode_partial_configuration,
    merge_decoded_configurations,
)
from piershore.telemetry.event_log import EventLog, MAX_BUFFERED_BYTES
from piershore.telemetry.events import AttemptEnded, DependencyLost

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


@then("each event is delivered once and in order, whatever the chunks")
def check_delivery(context):
    @checked(st.integers(0, 10_000))
    def check(seed):
        random = Random(seed)
        delivered = DeliveredEvents()
        numbers = []
        while len(numbers) < 30:
            overlap = random.randrange(0, 4)
            first = max(1, len(numbers) + 1 - overlap)
            last = min(30, first + random.randrange(12))
            data = b"".join(
                b"id: %d\r\ndata: x\r\n\r\n" % n
                if n % 2
                else b"id: %d\ndata: x\n\n" % n
                for n in range(first, last + 1)
            )
            # The answer breaks off, perhaps within an event.
            data = data[: random.randrange(len(data) + 1)]
            splitter = EventSplitter()
            while data:
                size = random.randrange(1, 20)
                chunk, data = data[:size], data[size:]
                events = delivered.filter_new(splitter.feed(chunk))
                numbers.extend(event.number for event in events)
        assert numbers == list(range(1, 31))


def decode_configuration(spec):
    """Decode a configuration as the gateway does, chunk by chunk."""
    merge_decoded_configurations(
        decode_partial_configuration(orjson.loads(part.data)) for part in split(spec)
    )


def parse_head(data):
    names = [b"deadline-ms", b"token-usage", b"prompt-prefix", b"length-hint"]
    headers = tuple((names[n % 4], value) for n, value in enumerate(data))
    PlatformDialect().read_request(RequestHead(b"GET", b"/", headers))


PARSERS = {
    "a speed report": (
        SpeedReport.decode,
        st.binary()
        | JSON_VALUES.map(lambda value: SPEED_REPORT_PREFIX + orjson.dumps(value)),
    ),
    "a load update": (
        LoadUpdate.decode,
        st.binary()
        | JSON_VALUES.map(lambda value: LOAD_UPDATE_PREFIX + orjson.dumps(value)),
    ),
    "a peer's report": (PeerReport.decode, st.binary() | JSON_VALUES.map(orjson.dumps)),
    "a settings file": (lambda text: read_box_settings("f", text), st.text()),
    "a configuration": (
        lambda spec: decode_configuration({**configuration(1), **spec}),
        st.dictionaries(
            st.sampled_from(["routes", "services", "limits", "tenants"]), JSON_VALUES
        ),
    ),
    "an endpoint entry": (
        lambda spec: decode_endpoint("i", spec),
        st.dictionaries(
            st.sampled_from(["service", "address", "slots", "cold_remaining_ms"]),
            JSON_VALUES,
        ),
    ),
    "a request's head": (parse_head, st.lists(st.binary(max_size=20), max_size=6)),
}


@then("reading {parser} raises only errors with a code")
def check_parser(context, parser):
    check_coded_errors(*PARSERS[parser])


@when("a log of {count:d} lines is written to a pipe that nobody reads")
def write_log(context, count):
    reading, writing = os.pipe()
    log = EventLog("box", writing)

    async def write():
        log.start()
        started = trio.current_time()
        for number in range(count):
            log.write(AttemptEnded(f"r{number}", "i", "o", "r", 0.1), is_failure=True)
            if number % 100 == 0:
                log.flush()
        context.seconds = trio.current_time() - started
        context.buffered = log._handler.size
        context.omitted = log.omitted

    trio.run(write)
    context.first = os.read(reading, 65_536).splitlines()[0]
    os.close(reading)
    os.close(writing)


@then("no write blocks, memory is bounded, and omitted lines are counted")
def check_log(context):
    assert context.buffered <= MAX_BUFFERED_BYTES
    assert context.omitted > 0
    assert orjson.loads(context.first)["request"] == "r0"


@when("{count:d} lines of {size:d} bytes are flushed together")
def write_together(context, count, size):
    context.written = []

    def write(output, data):
        context.written.append(data)
        return len(data)

    async def script():
        log = EventLog("front-0", 1)
        for _ in range(count):
            log.write(DependencyLost("store", "x" * size), is_failure=True)
        with patch("piershore.telemetry.event_log.os.write", write):
            log.flush()

    trio.run(script)
    assert b"".join(context.written).count(b"\n") == count


@then("each write has complete lines and at most PIPE_BUF bytes")
def check_writes(context):
    assert len(context.written) > 1
    for data in context.written:
        assert len(data) <= select.PIPE_BUF, len(data)
        assert data.endswith(b"\n")
