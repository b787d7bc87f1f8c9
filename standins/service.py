"""Stand-in for a plain service that counts the executions of each key."""

from __future__ import annotations

from collections import Counter

import orjson
import trio
from quart import request, Response
from quart_trio import QuartTrio

from standins.serving import parser, RateNaming, serve_app, Shedding


class ServiceStandin:
    """Routes of the stand-in; a call with a `seconds` argument takes that long."""

    def __init__(self) -> None:
        self._executions: Counter[str] = Counter()
        self._tags: Counter[str] = Counter()
        self._delay = 0.0
        self.shedding = Shedding()
        self.naming = RateNaming()
        self.requests = 0

    def app(self) -> QuartTrio:
        """Return the HTTP application."""
        app = QuartTrio(__name__)
        app.post("/call/<kind>")(self.call)
        app.get("/_executions")(self.executions)
        app.post("/_delay")(self.set_delay)
        return app

    async def call(self, kind: str) -> Response:
        """Execute a call: it counts before it answers."""
        self.requests += 1
        self.naming.count()
        if (refusal := self.shedding.refusal()) is not None:
            return refusal
        arguments = orjson.loads(await request.get_data())
        key = request.headers.get("Idempotency-Key", "")
        self._executions[key] += 1
        self._tags[str(arguments.get("tag", ""))] += 1
        await trio.sleep(float(arguments.get("seconds", self._delay)))
        answer = {"kind": kind, "key": key, "arguments": arguments}
        response = Response(orjson.dumps(answer), content_type="application/json")
        return self.naming.name_in(response)

    async def executions(self) -> Response:
        """Return the executions by key and by tag."""
        data = {"keys": self._executions, "tags": self._tags}
        return Response(orjson.dumps(data), content_type="application/json")

    async def set_delay(self) -> Response:
        """Set how long a call takes."""
        self._delay = orjson.loads(await request.get_data())["seconds"]
        return Response("")


if __name__ == "__main__":
    options = parser(__doc__).parse_args()
    trio.run(serve_app, ServiceStandin().app(), options)
