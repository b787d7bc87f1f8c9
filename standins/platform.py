"""Stand-in for the platform's object API and its list of boxes."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import asdict

import orjson
import trio
from quart import request, Response
from quart_trio import QuartTrio

from standins.platform_state import ConflictError, PlatformState
from standins.serving import parser, serve_app

WATCH_PERIOD_SECONDS = 1.0
WATCH_POLL_SECONDS = 0.01
READS_PER_SECOND = 2_000
WRITES_PER_SECOND = 300


class RateLimit:
    """Calls in the present second."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._second = 0
        self._calls = 0

    def allows(self) -> bool:
        """Count a call; tell whether it is within the rate."""
        second = int(trio.current_time())
        if second != self._second:
            self._second = second
            self._calls = 0
        self._calls += 1
        return self._calls <= self._most


class PlatformStandin:
    """Routes of the stand-in; paths with an underscore switch the faults."""

    def __init__(self) -> None:
        self._state = PlatformState()
        self._reads = RateLimit(READS_PER_SECOND)
        self._writes = RateLimit(WRITES_PER_SECOND)

    def app(self) -> QuartTrio:
        """Return the HTTP application."""
        app = QuartTrio(__name__)
        app.get("/objects")(self.list)
        app.get("/objects/<kind>/<name>")(self.get)
        app.put("/objects/<kind>/<name>")(self.put)
        app.get("/watch")(self.watch)
        app.get("/boxes")(self.boxes)
        app.post("/_faults")(self.set_faults)
        app.get("/_counts")(self.counts)
        app.post("/_boxes")(self.set_box)
        app.delete("/_boxes/<name>")(self.remove_box)
        return app

    async def list(self) -> Response:
        """Return all objects of the kinds asked for."""
        if refusal := await self._refuse(self._reads):
            return refusal
        self._state.counts.reads += 1
        return _json(self._state.list(set(request.args["kinds"].split(","))))

    async def get(self, kind: str, name: str) -> Response:
        """Return one object, tombstones too."""
        if refusal := await self._refuse(self._reads):
            return refusal
        self._state.counts.reads += 1
        stored = self._state.read(kind, name)
        return _json(stored) if stored else Response("", status=404)

    async def put(self, kind: str, name: str) -> Response:
        """Write conditionally; the answer may be lost afterwards."""
        if refusal := await self._refuse(self._writes):
            return refusal
        self._state.counts.writes += 1
        body = orjson.loads(await request.get_data())
        try:
            stored = self._state.write(kind, name, body)
        except ConflictError as error:
            return _json(error.current, status=409)
        if self._state.faults.outage_after_write and kind != "SlotTable":
            self._state.faults.outage = True
        if self._state.faults.lose_answers > 0:
            self._state.faults.lose_answers -= 1
            return Response("", status=502)
        return _json(stored)

    async def watch(self) -> Response:
        """Stream changes as lines of JSON."""
        if refusal := await self._refuse(self._reads):
            return refusal
        self._state.counts.reads += 1
        kinds = set(request.args["kinds"].split(","))
        lines = self._watch_lines(int(request.args["from"]), kinds)
        response = Response(lines, content_type="application/x-ndjson")
        response.timeout = None
        return response

    async def boxes(self) -> Response:
        """Return the list of boxes, late."""
        if refusal := await self._refuse(self._reads):
            return refusal
        self._state.counts.reads += 1
        now = trio.current_time()
        lag = self._state.faults.box_lag
        shown = []
        for box in self._state.boxes.values():
            past = [entry for at, entry in box["history"] if at <= now - lag]
            if past and past[-1] is not None:
                shown.append(past[-1])
        return _json(shown)

    async def set_faults(self) -> Response:
        """Switch faults."""
        for name, value in orjson.loads(await request.get_data()).items():
            if name == "stale_reads" and value:
                self._state.freeze_reads()
            setattr(self._state.faults, name, value)
        return _json(asdict(self._state.faults))

    async def counts(self) -> Response:
        """Return the calls so far."""
        return _json(asdict(self._state.counts))

    async def set_box(self) -> Response:
        """Enter a box or change its state."""
        entry = orjson.loads(await request.get_data())
        box = self._state.boxes.setdefault(entry["name"], {"history": []})
        box["history"].append((trio.current_time(), entry))
        return _json({})

    async def remove_box(self, name: str) -> Response:
        """Take a box off the list."""
        box = self._state.boxes.setdefault(name, {"history": []})
        box["history"].append((trio.current_time(), None))
        return _json({})

    async def _refuse(self, rate: RateLimit) -> Response | None:
        if self._state.faults.delay:
            await trio.sleep(self._state.faults.delay)
        if self._state.faults.outage or not rate.allows():
            return Response("", status=503)
        return None

    async def _watch_lines(self, revision: int, kinds: set[str]) -> AsyncIterator:
        state = self._state
        state.counts.watches += 1
        told_at = 0.0
        try:
            while not state.faults.outage:
                for change in [c for c in state.changes if c["version"] > revision]:
                    revision = change["version"]
                    if change["kind"] not in kinds:
                        continue
                    if state.faults.drop_changes > 0:
                        state.faults.drop_changes -= 1
                        yield b'{"gap": true}\n'
                        return
                    yield orjson.dumps(change) + b"\n"
                now = trio.current_time()
                if now - told_at >= WATCH_PERIOD_SECONDS:
                    told_at = now
                    revision = max(revision, state.revision)
                    yield orjson.dumps({"revision": revision}) + b"\n"
                await trio.sleep(WATCH_POLL_SECONDS)
        finally:
            state.counts.watches -= 1


def _json(data: object, status: int = 200) -> Response:
    return Response(orjson.dumps(data), status=status, content_type="application/json")


if __name__ == "__main__":
    options = parser(__doc__).parse_args()
    trio.run(serve_app, PlatformStandin().app(), options)
