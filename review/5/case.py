"""One entry of another writer hides all runners from gateways that start."""

from __future__ import annotations

import sys
from pathlib import Path

import orjson
import stage_2 as stage
import trio

from piershore.http1.server_connection import ServerConnection
from standins.published_store import Call, PublishedStore

FOLDER = Path(__file__).resolve().parent
LEVELS = 1_500
"""Depth of a list in the place of a number: 3 KB of valid JSON."""
UNREADABLE = bytes([0x00, 0x1B, 0x9D, 0xFF]) * 4
RECOVERY_SECONDS = 12.0
DOWN_SECONDS = 0.85
REQUESTS = 40
SERVED_SHARE = 0.25
NAME = "k-of-another-writer"
MARK = b'"@foreign"'


class ForeignStore(PublishedStore):
    """Hands out one entry of another writer as it was written."""

    def __init__(self) -> None:
        super().__init__()
        self.foreign = b""

    async def _respond(self, connection: ServerConnection, call: Call) -> bool:
        """Answer a call; the entry isn't made by this store's own encoder."""
        self.calls += 1
        status, body = await self._serve_objects(call)
        data = orjson.dumps(body).replace(MARK, self.foreign)
        await connection.respond(status, self._headers(), data)
        return True


def foreign_entries(entry: dict) -> dict[str, bytes]:
    """Return an entry with a field of another type, and one with unreadable bytes."""
    text = orjson.dumps({**entry, "slots": "@"})
    nested = b"[" * LEVELS + b"]" * LEVELS
    return {
        "a field of another type": text.replace(b'"@"', nested),
        "bytes that can't be read": text.replace(b'"@"', b'"' + UNREADABLE + b'"'),
    }


class Play:
    """A fleet of two gateways and six runners before a store."""

    def __init__(self, record, folder: Path, to_close: list) -> None:
        self._record, self._folder, self._to_close = record, folder, to_close
        self._next = 0
        self.gateways: list[stage.Gateway] = []

    async def run(self, kind: str) -> bool:
        """Return whether requests are served again after the end of all gateways."""
        store = ForeignStore()
        self._record.write(f"an entry with {kind}")
        async with trio.open_nursery() as nursery:
            await nursery.start(store.serve)
            store.put("config", "main", stage.configuration(7, desk=None))
            runners = []
            for number in range(6):
                options = {
                    "identity": f"i-{number:04x}",
                    "service": "desk",
                    "zone": ("ikeja", "lekki", "apapa")[number % 3],
                    "born": 1_790_000_000_000 + number,
                }
                runner = stage.RunnerProcess(options)
                self._to_close.append(runner)
                runners.append(runner)
                nursery.start_soon(runner.read_lines, self._record)
                store.put("servers", runner.identity, runner.entry())
            for hall in ("ikeja", "lekki"):
                address = "127.0.0.1", store.port
                gateway = stage.Gateway(self._folder, f"front-{hall}-1", hall, address)
                self.gateways.append(gateway)
                self._to_close.append(gateway)
            for gateway in self.gateways:
                gateway.seeds = [g.host for g in self.gateways]
                gateway.start()
            for gateway in self.gateways:
                await gateway.wait_ready()
            await trio.sleep(stage.CONTACT_SECONDS + 1)
            if stage.TROUBLE:
                store.foreign = foreign_entries(runners[0].entry())[kind]
                store.put("servers", NAME, "@foreign")
                self._record.write(f"another writer makes the entry {NAME}")
            await trio.sleep(1.0)
            before = await self._serve_share()
            for gateway in self.gateways:
                self._record.write(f"SIGKILL to {gateway.name}")
                gateway.kill()
            await trio.sleep(DOWN_SECONDS)
            for gateway in self.gateways:
                gateway.start()
            self._record.write("all gateways start again")
            await trio.sleep(RECOVERY_SECONDS)
            after = await self._serve_share()
            for item in (*self.gateways, *runners):
                item.close()
            nursery.cancel_scope.cancel()
        if before < SERVED_SHARE:
            raise stage.CannotRunError("requests weren't served before the fault")
        if after < SERVED_SHARE:
            self._record.write(
                f"RECOVER: served {before:.2f} before, {after:.2f} after"
            )
        return after >= SERVED_SHARE

    async def _serve_share(self) -> float:
        """Send requests and return the share that was served."""
        served = 0
        for number in range(REQUESTS):
            gateway = self.gateways[number % len(self.gateways)]
            self._next += 1
            identity = f"9c41d07be2a8{self._next:04x}"
            reply = await stage.call(gateway, "POST", "/once/2f", identity, 1_500)
            served += reply.status == 200 and reply.is_whole
            self._record.write(
                f"{gateway.name} answers {identity} {reply.status} {reply.error}"
            )
            await trio.sleep(0.03)
        return served / REQUESTS


async def play(record, folder: Path, to_close: list) -> bool:
    """Return whether the rule held with each of the two entries."""
    held = True
    for kind in foreign_entries({}):
        held = await Play(record, folder, to_close).run(kind) and held
    return held


if __name__ == "__main__":
    sys.exit(stage.run_case(FOLDER, play))
