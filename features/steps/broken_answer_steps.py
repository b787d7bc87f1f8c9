"""Steps for answers of endpoints in trouble."""

from __future__ import annotations

import trio
from behave import given, then, when
from support.ingress_world import configuration, IngressWorld, route

from piershore.core.ports import GenerationRequest
from piershore.endpoints.exceptions import CallOutcomeUnknownError, EngineLostError
from piershore.endpoints.http_engine_client import HttpEngineClient
from piershore.endpoints.http_service_client import HttpServiceClient
from piershore.http1.body_memory import BodyMemory, GUARANTEED_BYTES
from standins.broken_answers import BROKEN_ANSWERS

UPLOAD_BYTES = 3_500_000
"""More than the kernel keeps for a connection."""
FAILURES = {502, 504}
"""504 if one of several attempts took too long."""
OWN_CALLS = 8
SOUND_CALLS = 40
SAMPLE_SECONDS = 0.005
CAPACITY_BYTES = 32 * 1_024 * 1_024


@given("endpoints whose answers have {answer}")
def given_broken(context, answer):
    world = context.ingress = IngressWorld()
    name = answer.removeprefix("a ") if answer.startswith("a reset") else answer
    world.add_endpoints("desk", 2, [name] * 64)
    world.add_endpoints("model", 2, [name] * 64)
    world.add_endpoints("sound", 1)
    routes = [
        *configuration(4)["routes"],
        route("sound", "sound", "unsafe"),
    ]
    world.configuration = configuration(4, routes, max_body_bytes=2 * UPLOAD_BYTES)
    world.configuration["services"].append({"name": "sound", "max_connections": 100})


@when('{callers:d} callers send "{kind}" requests of {size:d} bytes')
def send_all(context, callers, kind, size):
    context.ingress.run(lambda world: _send(context, world, callers, kind, size))


@when('callers send a request "{kind}" and for a "{other}"')
def send_both(context, kind, other):
    async def script(world):
        await _send(context, world, 1, kind, 2)
        replies = context.replies
        await _send(context, world, 1, other, 2)
        context.replies += replies

    context.ingress.run(script)


async def _send(context, world, callers, kind, size):
    context.replies, context.seconds = [], []
    tokens = "100,40" if kind == "stream" else ""

    async def send():
        started = trio.current_time()
        reply = await world.call(kind, body=b"x" * size, size=tokens)
        context.replies.append(reply)
        context.seconds.append(trio.current_time() - started)

    async with trio.open_nursery() as nursery:
        for _ in range(callers):
            nursery.start_soon(send)


@then("each gets a failure or a stream that is incomplete")
def check_not_passed_on(context):
    assert context.replies
    for reply in context.replies:
        is_failure = reply.status in FAILURES and "response-seal" not in reply.headers
        is_cut = reply.status == 200 and not reply.is_whole and reply.events == [1]
        assert is_failure or is_cut, vars(reply)


@when(
    '{callers:d} callers send "{kind}" requests of {size:d} bytes, and others call a '
    "sound service"
)
def send_beside_others(context, callers, kind, size):
    context.sound, context.kept = [], []

    async def sample(world):
        _, daemon = world.gateways[0]
        while True:
            context.kept.append(daemon._state.pool.body_memory.used_bytes)
            await trio.sleep(SAMPLE_SECONDS)

    async def script(world):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sample, world)
            async with trio.open_nursery() as senders:
                senders.start_soon(_send, context, world, callers, kind, size)
                for _ in range(SOUND_CALLS):
                    context.sound.append(await world.call("sound"))
            nursery.cancel_scope.cancel()

    context.ingress.run(script)


@then("each fails within {most:g} s")
def check_failures(context, most):
    assert {reply.status for reply in context.replies} <= FAILURES
    assert len(context.replies) == len(context.seconds)
    assert max(context.seconds) < most, context.seconds


@then("the others get their answers, and at most {size:d} MB were kept")
def check_others(context, size):
    assert {reply.status for reply in context.sound} == {200}
    assert max(context.kept) <= size * 1_024 * 1_024, max(context.kept)


@then(
    "an answer may have half of the memory, several less each, and small ones always fit"
)
def check_memory(context):
    memory, block = BodyMemory(CAPACITY_BYTES), bytes(65_536)
    with memory.buffer() as alone:
        while alone.append(block):
            continue
        assert CAPACITY_BYTES / 2 - len(block) <= len(alone) <= CAPACITY_BYTES / 2
    assert memory.used_bytes == 0
    with memory.buffer() as one, memory.buffer() as two, memory.buffer() as three:
        while any([b.append(block) for b in (one, two, three)]):
            continue
        assert memory.used_bytes <= CAPACITY_BYTES * 3 / 4 + 3 * len(block)
        with memory.buffer() as small:
            while len(small) < GUARANTEED_BYTES:
                assert small.append(block)


async def _serve_broken(answer, task_status=trio.TASK_STATUS_IGNORED):
    async def serve_one(stream):
        try:
            async with stream:
                if answer.is_early:
                    await stream.receive_some(1_024)
                else:
                    await _read_request(stream)
                await answer.send(stream, "abc")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    task_status.started(listeners[0].socket.getsockname()[1])
    await trio.serve_listeners(serve_one, listeners)


async def _read_request(stream):
    received = b""
    while b"\r\n\r\n" not in received:
        received += await stream.receive_some(65_536)
    head, _, body = received.partition(b"\r\n\r\n")
    length = next(
        (
            int(line.partition(b":")[2])
            for line in head.lower().splitlines()
            if line.startswith(b"content-length:")
        ),
        0,
    )
    while len(body) < length:
        body += await stream.receive_some(65_536)


async def _call_service(client, length):
    return await client.call("", "lookup", bytes(length))


async def _generate(client, length):
    request = GenerationRequest("g1", "x" * length, 10, 0)
    return [tokens async for tokens in client.generate(request)]


async def _cancel(client, length):
    return await client.cancel("g1") or "cancelled"


async def _outcome(client, attempt, length):
    """Return what an attempt brought; None if it failed as it should."""
    try:
        return await attempt(client, length)
    except (CallOutcomeUnknownError, EngineLostError):
        return None
    finally:
        await client.close()


@then("a call, a generation and its cancelling fail if the answer has {name}")
def check_own_interface(context, name):
    answer = BROKEN_ANSWERS[name]
    length = UPLOAD_BYTES if answer.is_early else 2

    async def run():
        async with trio.open_nursery() as nursery:
            port = await nursery.start(_serve_broken, answer)
            url = f"http://127.0.0.1:{port}"
            attempts = [
                (lambda: HttpServiceClient(url), _call_service),
                (lambda: HttpEngineClient(url, 2.0), _generate),
            ]
            if not answer.is_early:
                attempts.append((lambda: HttpEngineClient(url, 2.0), _cancel))
            with trio.fail_after(20):
                outcomes = [
                    await _outcome(connect(), attempt, length)
                    for connect, attempt in attempts
                    for _ in range(OWN_CALLS if answer.is_early else 1)
                ]
            nursery.cancel_scope.cancel()
        return outcomes

    outcomes = trio.run(run)
    assert outcomes == [None] * len(outcomes), outcomes
