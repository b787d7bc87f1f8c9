"""Streams that are stopped for a move look complete."""

from __future__ import annotations

import sys
from pathlib import Path

import orjson
import stage_2 as stage
import trio

from standins.published_endpoint import EngineMemory, PublishedEndpoint
from standins.published_store import PublishedStore

FOLDER = Path(__file__).resolve().parent
HALLS = ("ikeja", "lekki", "apapa")
RUNNERS = 8
CALLERS = 56
PROMPT_TOKENS = 2_000
EVENTS = 500
PACE_SECONDS = 0.03
"""Four tokens at 7.5 ms: 7 ms a step, and more the more requests run."""
LINK_MEGABITS = 47_000.0
TOKEN_BYTES = 327_680
LEAVES = 14
LEAVE_EVERY_SECONDS = 3.3
END_SECONDS = 3.0
"""How long after its notice a runner ends."""


class Runner(PublishedEndpoint):
    """Copies memory over its link, one after the other, and only what is new."""

    def __init__(self, number: int, memory: EngineMemory, record) -> None:
        super().__init__(f"i-{number:04x}", "huvo11a", memory)
        self.record = record
        self.copied: dict[tuple[str, str], int] = {}
        self.link = trio.Lock()
        self.pace = PACE_SECONDS
        self.ends_with_connection = True
        self.born = 1_790_000_000_000 + number

    async def _move(self, arrival) -> None:
        order = orjson.loads(arrival.body)
        request, target, last = order["id"], order["target_version"], order["last"]
        run = self._running.get(request)
        if run is None:
            await self.respond(arrival, 404, b"{}")
            return
        made = self.made.get(request, 0)
        if last:
            self.record.write(f"{self.identity} stops {request} after event {made}")
            run.cancel()
        async with self.link:
            held = PROMPT_TOKENS + 4 * made
            new = max(0, held - self.copied.get((request, target), 0))
            self.copied[request, target] = held
            await trio.sleep(new * TOKEN_BYTES * 8 / (LINK_MEGABITS * 1e6))
        handle = f"h-{request}"
        self._memory.copies[f"{self.listed_as()}/{handle}"] = target
        await self.respond(arrival, 200, orjson.dumps({"handle": handle, "made": made}))


class Play:
    """One play: runners with a store, gateways and callers."""

    def __init__(self, record, folder: Path, to_close: list) -> None:
        self.record, self.folder, self.to_close = record, folder, to_close
        self.store, self.memory = PublishedStore(), EngineMemory()
        self.runners: list[Runner] = []
        self.gateways: list[stage.Gateway] = []
        self.replies: dict[str, stage.Reply] = {}
        self.started = 0
        self.ends = False

    async def run(self) -> bool:
        """Return whether each stream that looked complete was complete."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.store.serve)
            engine = {**stage.ENGINE, "link_mbps": LINK_MEGABITS, "backups": False}
            fields = stage.configuration(7, huvo11a=engine)
            self.store.put("config", "main", fields)
            for _ in range(RUNNERS):
                await self.add_runner(nursery)
            for hall in HALLS[:2]:
                address = "127.0.0.1", self.store.port
                name = f"front-{hall}-1"
                self.gateways.append(stage.Gateway(self.folder, name, hall, address))
            self.to_close.extend(self.gateways)
            for gateway in self.gateways:
                gateway.seeds = [g.host for g in self.gateways]
                gateway.start()
            for gateway in self.gateways:
                await gateway.wait_ready()
            await trio.sleep(stage.CONTACT_SECONDS + 1)
            async with trio.open_nursery() as callers:
                for number in range(CALLERS):
                    callers.start_soon(self.call_on, number)
                    await trio.sleep(0.04)
                for _ in range(LEAVES):
                    await trio.sleep(LEAVE_EVERY_SECONDS)
                    if stage.TROUBLE:
                        await self.add_runner(nursery)
                        nursery.start_soon(self.leave, self.runners.pop(0))
                await trio.sleep(END_SECONDS)
                self.ends = True
                callers.cancel_scope.deadline = trio.current_time() + 1
            nursery.cancel_scope.cancel()
        whole = [
            (identity, reply)
            for identity, reply in self.replies.items()
            if reply.status == 200 and reply.is_whole
        ]
        complete = list(range(1, EVENTS + 1))
        broken = [(i, r) for i, r in whole if r.event_numbers() != complete]
        for identity, reply in broken:
            count = len(reply.event_numbers())
            self.record.write(
                f"ORDER: {identity} ended as complete after {count} of {EVENTS} events"
            )
        self.record.write(f"{len(whole)} streams ended as complete")
        return not broken

    async def add_runner(self, nursery: trio.Nursery) -> None:
        """Start a runner and list it."""
        runner = Runner(self.started, self.memory, self.record)
        runner.data_hall = HALLS[self.started % 3]
        self.started += 1
        await nursery.start(runner.serve)
        self.runners.append(runner)
        self.store.put("servers", runner.identity, runner.entry())
        self.record.write(f"{runner.identity} starts")

    async def leave(self, runner: Runner) -> None:
        """Let a runner say that it leaves, serve on for some seconds, and end."""
        runner.tells_leaving, runner.state = True, "draining"
        self.store.put("servers", runner.identity, runner.entry("draining"))
        self.record.write(
            f"{runner.identity} is draining with {runner.open_streams} streams"
        )
        await trio.sleep(END_SECONDS)
        self.record.write(f"{runner.identity} ends with {runner.open_streams} streams")
        self.store.remove("servers", runner.identity)
        runner.crash()

    async def call_on(self, caller: int) -> None:
        """Send one stream after the other."""
        number = 0
        while not self.ends:
            identity = f"9c41d07be2{caller:02x}{number:04x}"
            number += 1
            reply = await stage.call(
                self.gateways[caller % len(self.gateways)],
                "POST",
                "/stream/2f",
                identity,
                39_000,
                [
                    ("Model", "m"),
                    ("Token-Usage", f"{PROMPT_TOKENS},{4 * EVENTS}"),
                    ("Length-Hint", "800"),
                    ("Prompt-Prefix", f"5c1e07a2:100,{caller:x}{number:04x}:400"),
                ],
                b"{}",
            )
            self.replies[identity] = reply
            self.record.write(
                f"caller gets {identity}: status {reply.status},"
                f" {len(reply.event_numbers())} events, whole {reply.is_whole}"
            )
            await trio.sleep(0.2)


async def play(record, folder: Path, to_close: list) -> bool:
    """Return whether the rule held."""
    return await Play(record, folder, to_close).run()


if __name__ == "__main__":
    sys.exit(stage.run_case(FOLDER, play))
