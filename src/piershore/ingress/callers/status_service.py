"""Readiness checks and metrics, for the platform and its operators."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import trio
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from piershore.core.routes.client_limits import ClientLimits
from piershore.http1.exceptions import BadRequestError
from piershore.http1.server_connection import ServerConnection
from piershore.telemetry import ingress_metrics

PLAIN_TEXT = "text/plain"


class StatusService:
    """Serves readiness checks and metrics over HTTP."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def serve_readiness(self, stream: trio.SocketStream) -> None:
        """Answer 200 while callers may be routed here, else 503."""

        def answer() -> tuple[HTTPStatus, bytes]:
            if self._is_ready():
                return HTTPStatus.OK, b""
            return HTTPStatus.SERVICE_UNAVAILABLE, b""

        await _serve_text(stream, PLAIN_TEXT, answer)

    async def serve_metrics(self, stream: trio.SocketStream) -> None:
        """Answer with all metrics of the process."""

        def answer() -> tuple[HTTPStatus, bytes]:
            return HTTPStatus.OK, generate_latest(ingress_metrics.REGISTRY)

        await _serve_text(stream, CONTENT_TYPE_LATEST, answer)


async def _serve_text(
    stream: trio.SocketStream,
    content_type: str,
    answer: Callable[[], tuple[HTTPStatus, bytes]],
) -> None:
    """Answer GET requests on one connection."""
    connection = ServerConnection(stream, ClientLimits)
    headers = ((b"content-type", content_type.encode()),)
    try:
        while await connection.next_request() is not None:
            await connection.read_body()
            status, body = answer()
            await connection.respond(status, headers, body)
            if not connection.prepare_next_request():
                return
    except (BadRequestError, trio.BrokenResourceError):
        return  # The client checks or scrapes again.
    finally:
        with trio.CancelScope(shield=True):
            await connection.close()
