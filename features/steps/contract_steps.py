"""Contract tests of the ports, with the real adapters and the stand-ins."""

from __future__ import annotations

import trio
from behave import then

from piershore.core.configuration.objects import ObjectKind
from piershore.core.configuration.stored_object import ObjectName
from piershore.core.fleet.store_revision import era_of
from piershore.core.ports import GenerationRequest
from piershore.endpoints.exceptions import (
    CallNotSentError,
    CallOutcomeUnknownError,
    EngineLostError,
    EngineStalledError,
    EngineUnknownGenerationError,
)
from piershore.endpoints.http_engine_client import HttpEngineClient
from piershore.endpoints.http_service_client import HttpServiceClient
from piershore.platform.exceptions import (
    PlatformUnavailableError,
    StaleVersionError,
    WatchGapError,
    WriteUncertainError,
)
from piershore.platform.http_platform_store import HttpPlatformStore
from piershore.platform.settled_write import settled_put

NAME = ObjectName(ObjectKind.ACCOUNT, "a")


async def raises(error, awaitable):
    try:
        await awaitable
    except error as found:
        return found
    raise AssertionError(f"{error.__name__} was not raised")


async def write_and_delete(store, world):
    created = await store.put(NAME, b"1", 0, "w1")
    assert (await store.get(NAME)).value == b"1"
    changed = await store.put(NAME, b"2", created.version, "w2")
    assert changed.version > created.version
    deleted = await store.put(NAME, None, changed.version, "w3")
    assert deleted.value is None and deleted.version > changed.version
    snapshot = await store.list()
    assert snapshot.objects == () and snapshot.revision >= deleted.version
    again = await store.put(NAME, b"3", 0, "w4")
    assert again.version > deleted.version


async def write_old_version(store, world):
    first = await store.put(NAME, b"1", 0, "w1")
    second = await store.put(NAME, b"2", first.version, "w2")
    error = await raises(StaleVersionError, store.put(NAME, b"3", first.version, "w3"))
    assert error.current == second
    await raises(StaleVersionError, store.put(NAME, b"3", 0, "w3"))


async def write_concurrently(store, world):
    first = await store.put(NAME, b"1", 0, "w1")
    won = []

    async def write(number):
        try:
            await store.put(NAME, b"%d" % number, first.version, f"x{number}")
            won.append(number)
        except StaleVersionError:
            pass

    async with trio.open_nursery() as nursery:
        for number in range(8):
            nursery.start_soon(write, number)
    assert len(won) == 1, won


async def write_with_lost_answer(store, world):
    world.deployment.set_faults(lose_answers=1)
    await raises(WriteUncertainError, store.put(NAME, b"1", 0, "w1"))
    world.deployment.set_faults(lose_answers=1)
    stored = await store.get(NAME)
    settled = await settled_put(store, NAME, b"2", stored.version, "w2")
    assert settled.value == b"2" and settled.write_ids[-1] == "w2"


async def settle_after_later_writes(store, world):
    world.deployment.set_faults(lose_answers=1)
    await raises(WriteUncertainError, store.put(NAME, b"1", 0, "w1"))
    newest = await store.get(NAME)
    newest = await store.put(NAME, b"2", newest.version, "w2")
    settled = await settled_put(store, NAME, b"1", 0, "w1")
    assert settled == newest and "w1" in settled.write_ids


async def platform_unavailable(store, world):
    world.deployment.set_faults(outage=True)
    for awaitable in (
        store.get(NAME),
        store.list(),
        store.boxes(),
        store.put(NAME, b"1", 0, "w"),
    ):
        await raises(PlatformUnavailableError, awaitable)
    world.deployment.set_faults(outage=False)
    assert await store.get(NAME) is None


async def collect(store, revision, count):
    found = []
    async for item in store.watch(revision):
        if not isinstance(item, int):
            found.append(item)
        if len(found) == count:
            return found
    return found


async def watch_all_changes(store, world):
    written = [await store.put(NAME, b"0", 0, "w")]
    start = written[0].version
    for number in range(1, 20):
        value = b"%d" % number
        written.append(await store.put(NAME, value, written[-1].version, "w"))
    assert await collect(store, start, 19) == written[1:]


async def watch_missed_changes(store, world):
    await store.put(NAME, b"0", 0, "w")
    world.deployment.set_faults(drop_changes=1)
    await raises(WatchGapError, collect(store, 0, 1))


async def read_stale_copy(store, world):
    first = await store.put(NAME, b"1", 0, "w1")
    world.deployment.set_faults(stale_reads=True)
    second = await store.put(NAME, b"2", first.version, "w2")
    assert (await store.get(NAME)).version == first.version
    await raises(StaleVersionError, store.put(NAME, b"3", first.version, "w3"))
    world.deployment.set_faults(stale_reads=False)
    assert (await store.get(NAME)).version == second.version


async def delayed_box_list(store, world):
    world.deployment.enter_box("b", "agent", "hall", "127.0.0.1:1")
    assert [box.name for box in await store.boxes()] == ["b"]
    world.deployment.set_faults(box_lag=60.0)
    assert await store.boxes() == ()


async def restore_without_second_write(store, world):
    """Restore the store from a copy that lacks the second of two writes."""
    first = await store.put(NAME, b"1", 0, "w1")
    world.deployment.keep_copy()
    second = await store.put(NAME, b"2", first.version, "w2")
    world.deployment.come_back()
    return first, second


async def write_version_lost_by_store(store, world):
    first, second = await restore_without_second_write(store, world)
    error = await raises(StaleVersionError, store.put(NAME, b"3", second.version, "w3"))
    assert error.current == first
    snapshot = await store.list()
    assert snapshot.objects == (first,) and snapshot.revision > second.version


async def write_reissued_version(store, world):
    _, second = await restore_without_second_write(store, world)
    first = await store.get(NAME)
    third = await store.put(NAME, b"3", first.version, "w3")
    assert third.version > second.version
    await raises(StaleVersionError, store.put(NAME, b"4", second.version, "w4"))
    assert (await store.get(NAME)).value == b"3"


async def watch_across_restore(store, world):
    _, second = await restore_without_second_write(store, world)
    other = ObjectName(ObjectKind.ACCOUNT, "b")
    await store.put(other, b"1", 0, "w5")
    await raises(WatchGapError, collect(store, second.version, 1))


async def settle_across_restore(store, world):
    first = await store.put(NAME, b"1", 0, "w1")
    world.deployment.keep_copy()
    world.deployment.come_back()
    settled = await settled_put(store, NAME, b"2", first.version, "w2")
    assert settled.value == b"2" and store.era == 1
    assert era_of(settled.version) == 1
    assert await store.get(NAME) == settled


STORE_CASES = {
    "an object is created, read, changed and deleted": write_and_delete,
    "a write expects an old version": write_old_version,
    "several writes expect the same version": write_concurrently,
    "the answer to a write is lost": write_with_lost_answer,
    "a lost answer is settled after later writes": settle_after_later_writes,
    "the platform is unavailable": platform_unavailable,
    "a watch returns all changes in order": watch_all_changes,
    "a watch has missed changes": watch_missed_changes,
    "reads are stale": read_stale_copy,
    "the list of boxes is delayed": delayed_box_list,
    "the store has lost the version that a write expects": write_version_lost_by_store,
    "the store has reissued the version that a write expects": write_reissued_version,
    "a watch resumes from a reissued revision": watch_across_restore,
    "the store is restored from a copy just before a write": settle_across_restore,
}


@then("the store adapter fulfils its contract when {case}")
def check_store(context, case):
    world = context.world

    async def run():
        store = HttpPlatformStore(world.deployment.url("platform"))
        try:
            with trio.fail_after(30):
                await STORE_CASES[case](store, world)
        finally:
            await store.close()

    trio.run(run)


def generation_request(length):
    return GenerationRequest("g1", f"length={length}", 1_000, 0)


async def read(stream, max_tokens=10**6):
    tokens = []
    expected = None
    async for item in stream:
        assert expected in (None, item.first_index)
        expected = item.first_index + len(item.tokens)
        tokens.extend(item.tokens)
        if len(tokens) >= max_tokens:
            break
    return tokens


async def stream_generation(engine, world):
    tokens = await read(engine.generate(generation_request(30)))
    assert [token.strip() for token in tokens] == [f"g1.{i}" for i in range(30)]


async def resume(engine, world):
    await read(engine.generate(generation_request(50)), max_tokens=10)
    tokens = await read(engine.resume("g1", 10))
    assert [token.strip() for token in tokens] == [f"g1.{i}" for i in range(10, 50)]


async def cancel(engine, world):
    await read(engine.generate(generation_request(500)), max_tokens=5)
    await engine.cancel("g1")
    await raises(EngineUnknownGenerationError, read(engine.resume("g1", 5)))


async def unknown_generation(engine, world):
    await raises(EngineUnknownGenerationError, read(engine.resume("nobody", 0)))


async def engine_stalled(engine, world):
    url = world.deployment.url("engine-1") + "/_pause"
    world.deployment.client.post(url, json={"paused": True})
    await raises(EngineStalledError, read(engine.generate(generation_request(5))))
    world.deployment.client.post(url, json={"paused": False})
    assert len(await read(engine.resume("g1", 0))) == 5


async def engine_crashed(engine, world):
    world.deployment.process("engine-1").kill()
    await raises(EngineLostError, read(engine.generate(generation_request(5))))
    await raises(EngineLostError, engine.load())
    await raises(EngineLostError, engine.cancel("g1"))


async def report_load(engine, world):
    report = await engine.load()
    assert report.capacity_tokens == 16_384 and report.running == 0


async def cache_events_delayed(engine, world):
    for number in range(12):
        identity, prompt = f"g{number}", f"{number} length=1"
        await read(engine.generate(GenerationRequest(identity, prompt, 10, 0)))
    events = ()
    while len(events) < 11:
        events = await engine.cache_events(0)
        await trio.sleep(0.05)
    assert [event.number for event in events] == [*range(1, 10), 11, 12]
    assert all(event.cached for event in events)
    assert [event.number for event in await engine.cache_events(9)] == [11, 12]


ENGINE_CASES = {
    "a generation is streamed to its end": stream_generation,
    "a stream is resumed at an offset": resume,
    "a generation is cancelled": cancel,
    "a generation is unknown": unknown_generation,
    "the engine stalls": engine_stalled,
    "the engine has crashed": engine_crashed,
    "the load is reported": report_load,
    "cache events are delayed and have gaps": cache_events_delayed,
}


@then("the engine adapter fulfils its contract when {case}")
def check_engine(context, case):
    world = context.world

    async def run():
        engine = HttpEngineClient(world.deployment.url("engine-1"), 0.5)
        try:
            with trio.fail_after(30):
                await ENGINE_CASES[case](engine, world)
        finally:
            await engine.close()

    trio.run(run)


async def call(service, world):
    answer = await service.call("k", "order_lookup", b'{"tag": "t"}')
    assert answer.status == 200 and b'"tag":"t"' in answer.body
    assert world.executions() == {"k": 1}


async def service_crashed(service, world):
    world.deployment.process("desk-1").kill()
    await raises(CallNotSentError, service.call("k", "order_lookup", b"{}"))


async def service_crashes_during_call(service, world):
    async with trio.open_nursery() as nursery:

        async def kill():
            while not world.executions()["k"]:
                await trio.sleep(0.01)
            world.deployment.process("desk-1").kill()

        nursery.start_soon(kill)
        await raises(
            CallOutcomeUnknownError,
            service.call("k", "order_lookup", b'{"seconds": 20}'),
        )


SERVICE_CASES = {
    "a call is answered": call,
    "the service has crashed": service_crashed,
    "the service crashes during a call": service_crashes_during_call,
}


@then("the service adapter fulfils its contract when {case}")
def check_service(context, case):
    world = context.world

    async def run():
        service = HttpServiceClient(world.deployment.url("desk-1"))
        try:
            with trio.fail_after(30):
                await SERVICE_CASES[case](service, world)
        finally:
            await service.close()

    trio.run(run)
