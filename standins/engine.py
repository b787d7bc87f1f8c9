"""Stand-in for a model engine, over HTTP.

The answer's length comes from ``length=N`` in the prompt, else from a hash of it.
Each token names its generation and index, so that a splice or a gap shows.
"""

from __future__ import annotations

import re
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from hashlib import sha256

import orjson
import trio
from quart import request, Response
from quart_trio import QuartTrio

from standins.engine_model import EngineModel, EngineSettings
from standins.serving import parser, RateNaming, serve_app, Shedding

CHARACTERS_PER_TOKEN = 4
IDLE_SECONDS = 0.005
LOAD_LAG_SECONDS = 0.5
EVERY_LOST_EVENT = 10
LENGTH_PATTERN = re.compile(r"length=(\d+)")


@dataclass
class GenerationLog:
    """Tokens made so far, kept for readers that come back."""

    identity: str
    made: int = 0
    ended: bool = False
    grown: trio.Event = field(default_factory=trio.Event)

    def grow(self, count: int, *, ended: bool) -> None:
        """Add tokens and wake the readers."""
        self.made += count
        self.ended = self.ended or ended
        self.grown.set()
        self.grown = trio.Event()

    def token(self, index: int) -> str:
        """Return the text of one token."""
        return f"{self.identity[:6]}.{index} "


class EngineStandin:
    """Routes of the stand-in; `speed` divides the model's step times."""

    def __init__(self, settings: EngineSettings, speed: float) -> None:
        self._model = EngineModel(settings)
        self._speed = speed
        self._logs: dict[str, GenerationLog] = {}
        self._paused = False
        self._load: dict = self._load_now()
        self._told_events = 0
        self.shedding = Shedding()
        self.naming = RateNaming()
        self.requests = 0

    def app(self) -> QuartTrio:
        """Return the HTTP application."""
        app = QuartTrio(__name__)
        app.post("/v1/generations")(self.generate)
        app.get("/v1/generations/<identity>")(self.resume)
        app.delete("/v1/generations/<identity>")(self.cancel)
        app.get("/v1/load")(self.load)
        app.get("/v1/cache-events")(self.cache_events)
        app.post("/_pause")(self.pause)
        app.get("/_generations")(self.generations)
        return app

    async def run(self) -> None:
        """Step the model until cancelled."""
        reported_at = trio.current_time()
        while True:
            if trio.current_time() - reported_at > LOAD_LAG_SECONDS:
                reported_at = trio.current_time()
                self._load = self._load_now()
                self._told_events = len(self._model.cache_changes)
            if self._paused or not self._model.is_busy:
                await trio.sleep(IDLE_SECONDS)
                continue
            step = self._model.step()
            await trio.sleep(step.duration / self._speed)
            for identity in step.progressed:
                if identity in self._logs:
                    self._logs[identity].grow(1, ended=identity in step.finished)

    async def generate(self) -> Response:
        """Start a generation and stream it."""
        self.requests += 1
        self.naming.count()
        if (refusal := self.shedding.refusal()) is not None:
            return refusal
        body = orjson.loads(await request.get_data())
        identity = body["id"]
        prompt = body["prompt"]
        if identity not in self._logs:
            self._logs[identity] = GenerationLog(identity)
            tokens = len(prompt) // CHARACTERS_PER_TOKEN + 1
            length = min(body["max_tokens"], _length_of(prompt))
            self._model.submit(identity, prompt, tokens, length, body["priority"])
        return self.naming.name_in(self._stream(identity, 0))

    async def resume(self, identity: str) -> Response:
        """Stream a generation again from an index on."""
        self.requests += 1
        if identity not in self._logs:
            return Response("", status=404)
        return self._stream(identity, int(request.args["from"]))

    async def cancel(self, identity: str) -> Response:
        """Stop a generation."""
        log = self._logs.pop(identity, None)
        self._model.cancel(identity)
        if log is not None:
            log.grown.set()
        return Response("")

    async def load(self) -> Response:
        """Return the last load report."""
        return Response(orjson.dumps(self._load), content_type="application/json")

    async def cache_events(self) -> Response:
        """Return cache events after a number, late and with every tenth lost."""
        after = int(request.args["after"])
        events = [
            {"number": number, "prefix": prefix, "cached": cached}
            for number, (prefix, cached) in enumerate(self._model.cache_changes, 1)
            if after < number <= self._told_events and number % EVERY_LOST_EVENT
        ]
        return Response(orjson.dumps(events), content_type="application/json")

    async def pause(self) -> Response:
        """Stop stepping, or go on."""
        self._paused = orjson.loads(await request.get_data())["paused"]
        return Response("")

    async def generations(self) -> Response:
        """Return how many generations were started."""
        data = {"started": len(self._logs), "running": len(self._model.running)}
        return Response(orjson.dumps(data), content_type="application/json")

    def _stream(self, identity: str, index: int) -> Response:
        lines = self._lines(self._logs[identity], index)
        response = Response(lines, content_type="application/x-ndjson")
        response.timeout = None
        return response

    async def _lines(self, log: GenerationLog, index: int) -> AsyncIterator[bytes]:
        while True:
            grown = log.grown
            if log.made > index:
                tokens = [log.token(i) for i in range(index, log.made)]
                line = orjson.dumps({"i": index, "t": tokens}) + b"\n"
                index = log.made
                yield line
            elif log.ended:
                yield b'{"end": true}\n'
                return
            elif log.identity not in self._logs:
                return
            else:
                await grown.wait()

    def _load_now(self) -> dict:
        return {
            "capacity_tokens": self._model.settings.capacity_tokens,
            "used_tokens": self._model.used_tokens,
            "running": len(self._model.running),
            "preemptions": self._model.preemptions,
        }


def _length_of(prompt: str) -> int:
    found = LENGTH_PATTERN.search(prompt)
    if found:
        return max(1, int(found.group(1)))
    number = int.from_bytes(sha256(prompt.encode()).digest()[:4], "big") / 2**32
    return int(16 / (1 - number * 0.995) ** 0.9)


async def main() -> None:
    """Serve the stand-in."""
    options = parser(__doc__)
    options.add_argument("--capacity", type=int, default=16_384)
    options.add_argument("--speed", type=float, default=1.0)
    arguments = options.parse_args()
    settings = EngineSettings(capacity_tokens=arguments.capacity)
    engine = EngineStandin(settings, arguments.speed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(engine.run)
        await serve_app(engine.app(), arguments)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main)
