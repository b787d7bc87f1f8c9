"""What the stand-ins share: their command line and HTTP server."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio


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
