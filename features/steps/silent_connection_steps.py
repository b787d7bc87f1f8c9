"""Steps for connections that go silent: to peers, to the store and to engines."""

from __future__ import annotations

from functools import partial

import trio
from behave import given, then, when

from devtools.ports import free_port
from devtools.soak.fault_proxy import FaultProxy
from piershore.core.documents.document import Document
from piershore.core.documents.splitting import split
from piershore.core.fleet.endpoint import Address
from piershore.errors import PiershoreError
from piershore.ingress.peers.document_reader import DocumentReader
from piershore.ingress.peers.document_server import DocumentServer
from piershore.platform.object_client import ObjectClient
from piershore.telemetry.event_log import EventLog
from standins.published_store import PublishedStore

PATH = b"/configuration"
DOCUMENT = Document(7, tuple(split({"version": 7})))
TOLERANCE_SECONDS = 0.4


@given("a peer whose first connection goes silent before it answers")
def given_silent_peer(context):
    context.connections = 0


async def _serve_second(context, server, stream):
    context.connections += 1
    if context.connections == 1:
        await trio.sleep_forever()
    await server.serve(stream)


@when("a gateway reads its document twice")
def read_twice(context):
    async def script():
        log = EventLog("b")
        server = DocumentServer({PATH: lambda: DOCUMENT}, log)
        serve = partial(_serve_second, context, server)
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
            )
            reader = DocumentReader(PATH, listeners[0].socket.getsockname()[1], log)
            started = trio.current_time()
            context.first = await reader.read("127.0.0.1", None)
            context.seconds = trio.current_time() - started
            context.second = await reader.read("127.0.0.1", None)
            nursery.cancel_scope.cancel()

    trio.run(script)


@then("the first read ends after {seconds:g} s, and the second one gets the document")
def check_reads(context, seconds):
    assert context.first is None
    assert seconds <= context.seconds < seconds + TOLERANCE_SECONDS, context.seconds
    assert context.second == DOCUMENT


@given("a client of the store, reached over a link")
def given_store_client(context):
    context.store = PublishedStore()


async def _read(client):
    await client.list("config")


async def _write(client):
    await client.create("config", "other", {"version": 1})


CALLS = {"read": _read, "write": _write}


@when("its open connection goes silent permanently and it makes a {call}")
def call_silent_store(context, call):
    async def script():
        async with trio.open_nursery() as nursery:
            await nursery.start(context.store.serve)
            link = FaultProxy(lambda: ("127.0.0.1", context.store.port))
            link.start(nursery, free_port())
            await nursery.start(link.accept)
            client = ObjectClient(Address("127.0.0.1", link.port))
            await _read(client)
            link.silence_open()
            started = trio.current_time()
            try:
                await CALLS[call](client)
            except PiershoreError as error:
                context.code = error.code
            context.seconds = trio.current_time() - started
            await _read(client)
            await client.close()
            nursery.cancel_scope.cancel()

    trio.run(script)


@then('that raises "{code}" within {seconds:g} s, and the next call is answered')
def check_store_call(context, code, seconds):
    assert context.code == code
    assert context.seconds < seconds + TOLERANCE_SECONDS, context.seconds
