"""Gateways that the store serves learn of a configuration too late from silent ones."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import stage_2 as stage
import trio

from standins.published_store import PublishedStore

FOLDER = Path(__file__).resolve().parent
GATEWAYS = 6
TURNED_AWAY = 2
"""0.33 of the machines."""
APPLY_SECONDS = 2.0
"""`config_apply_ms`."""
STORE_SECONDS = 0.004
SETTLED_SECONDS = 8.0
"""From the gateways' start: more than `contact_ms`."""
CHANGE_AFTER_SECONDS = 0.05
"""From the store's silence to the change of the configuration."""
POLL_SECONDS = 0.05
POLLED_SECONDS = 6.0


class StoreLink:
    """A machine's way to the store, which may fall silent; knows of open watches."""

    def __init__(self, store_port: int) -> None:
        self._store_port = store_port
        self._waiting: set[trio.SocketStream] = set()
        self.is_silent = False
        self.port = 0

    @property
    def has_watch(self) -> bool:
        """Whether a watch of this machine waits at the store."""
        return bool(self._waiting)

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._serve_one, listeners)

    async def _serve_one(self, stream: trio.SocketStream) -> None:
        try:
            async with (
                stream,
                await trio.open_tcp_stream("127.0.0.1", self._store_port) as store,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(self._ask, stream, store, nursery.cancel_scope)
                nursery.start_soon(self._answer, stream, store, nursery.cancel_scope)
        except OSError:
            return
        finally:
            self._waiting.discard(stream)

    async def _ask(self, stream, store, scope: trio.CancelScope) -> None:
        try:
            while data := await stream.receive_some(65_536):
                if self.is_silent:
                    continue
                if b"watch=" in data:
                    self._waiting.add(stream)
                await store.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    async def _answer(self, stream, store, scope: trio.CancelScope) -> None:
        try:
            while data := await store.receive_some(65_536):
                if self.is_silent:
                    continue
                self._waiting.discard(stream)
                await stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        if not self.is_silent:
            scope.cancel()


def configuration(version: int, service: str) -> dict:
    """Return a version whose route of plain requests leads to a service."""
    fields = stage.configuration(version, **{"desk-a": None, "desk-b": None})
    for route in fields["routes"]:
        route["service"] = service
    return fields


async def play(record, folder: Path, to_close: list) -> bool:
    """Return whether nothing ran at the old service when it no longer may."""
    store = PublishedStore()
    store.faults.delay = STORE_SECONDS
    gateways: list[stage.Gateway] = []
    links: dict[str, StoreLink] = {}
    sent: dict[str, tuple[float, str]] = {}
    runners: list[stage.RunnerProcess] = []
    async with trio.open_nursery() as nursery:
        await nursery.start(store.serve)
        store.put("config", "main", configuration(7, "desk-a"))
        for number in range(6):
            options = {
                "identity": f"i-{number:04x}",
                "service": "desk-a" if number < 3 else "desk-b",
                "zone": "ikeja",
                "born": 1_790_000_000_000 + number,
                "work": 0.01,
            }
            runner = stage.RunnerProcess(options)
            to_close.append(runner)
            runners.append(runner)
            nursery.start_soon(runner.read_lines, record)
            store.put("servers", runner.identity, runner.entry())
        for number in range(GATEWAYS):
            link = StoreLink(store.port)
            await nursery.start(link.serve)
            name = f"front-ikeja-{number + 1}"
            gateway = stage.Gateway(folder, name, "ikeja", ("127.0.0.1", link.port))
            links[name] = link
            gateways.append(gateway)
            to_close.append(gateway)
        for gateway in gateways:
            gateway.seeds = [g.host for g in gateways[:3]]
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        await trio.sleep(SETTLED_SECONDS)
        watching = [g for g in gateways if links[g.name].has_watch]
        record.write(f"watches of the store: {[g.name for g in watching]}")
        if len(watching) != TURNED_AWAY:
            raise stage.CannotRunError("not two machines watch the store")
        others = [g for g in gateways if g not in watching]
        if stage.TROUBLE:
            for gateway in watching:
                record.write(f"the store is silent towards {gateway.name}")
                links[gateway.name].is_silent = True
        await trio.sleep(CHANGE_AFTER_SECONDS)
        store.put("config", "main", configuration(8, "desk-b"))
        acknowledged = time.monotonic()
        record.write("the store takes version 8: the route leads to desk-b")

        async def caller(gateway: stage.Gateway, place: int) -> None:
            number = 0
            while time.monotonic() < acknowledged + POLLED_SECONDS:
                identity = f"9c41d07be2{place:02x}{number:04x}"
                number += 1
                sent[identity] = (time.monotonic(), gateway.name)
                reply = await stage.call(gateway, "POST", "/once/2f", identity, 1_500)
                record.write(f"{gateway.name} answers {identity} {reply.status}")
                await trio.sleep(POLL_SECONDS)

        async with trio.open_nursery() as callers:
            for place, gateway in enumerate(others):
                callers.start_soon(caller, gateway, place)
        await trio.sleep(0.3)
        nursery.cancel_scope.cancel()
    late: dict[str, float] = {}
    for runner in runners[:3]:
        for line in runner.lines:
            if line["event"] != "run":
                continue
            at, name = sent[line["id"]]
            if at > acknowledged + APPLY_SECONDS:
                late[name] = max(late.get(name, 0.0), at - acknowledged)
    for name, seconds in late.items():
        record.write(
            f"CONFIG: {name}, which the store serves, still sent to desk-a what came"
            f" {seconds:.2f} s after version 8 was acknowledged"
        )
    return not late


if __name__ == "__main__":
    sys.exit(stage.run_case(FOLDER, play))
