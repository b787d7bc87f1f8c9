"""What the stand-ins share: their command line and HTTP server."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response
from quart_trio import QuartTrio


class Shedding:
    """Turns requests away for a while, and asks for rest with each refusal."""

    def __init__(self) -> None:
        self._until = 0.0
        self._rest = 0.0

    def shed(self, seconds: float, rest: float) -> None:
        """Turn requests away for `seconds`, and ask for `rest` seconds each time."""
        self._until = trio.current_time() + seconds
        self._rest = rest

    def refusal(self) -> Response | None:
        """Return the refusal of a request that comes now, if it is turned away."""
        if trio.current_time() >= self._until:
            return None
        return Response("", status=503, headers={"Retry-After": f"{self._rest:g}"})


class RateNaming:
    """The rate that a stand-in names in its answers, and when it got requests."""

    def __init__(self) -> None:
        self.rate: float | None = None
        self.times: list[float] = []

    def count(self) -> None:
        """Count a request."""
        self.times.append(trio.current_time())

    def name_in(self, response: Response) -> Response:
        """Name the rate in an answer."""
        if self.rate is not None:
            response.headers["RateLimit-Limit"] = f"{self.rate:g}"
        return response


def parser(description: str) -> ArgumentParser:
    """Return a parser with the options of every stand-in."""
    options = ArgumentParser(description=description)
    options.add_argument("--listen", required=True, help="host:port")
    return options


async def serve_app(app: QuartTrio, arguments: Namespace) -> None:
    """Serve until the process is stopped."""
    app.config["RESPONSE_TIMEOUT"] = None
    config = Config()
    config.bind = [arguments.listen]
    config.accesslog = None
    config.loglevel = "ERROR"
    config.graceful_timeout = 0.1
    await serve(app, config, mode="asgi")
