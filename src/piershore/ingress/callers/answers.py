"""Refusals: answers that the gateway generates itself."""

from __future__ import annotations

from http import HTTPStatus

import orjson
import trio

from piershore.http1.exceptions import BadRequestError
from piershore.http1.server_connection import ServerConnection
from piershore.ingress.exceptions import RequestRefusedError
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.ports import CallerRequest
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import RequestRefused


async def refuse(
    state: GatewayState,
    connection: ServerConnection,
    request: CallerRequest | None,
    error: RequestRefusedError,
    arrived: float,
) -> None:
    """Send a refusal as the final answer, and log it."""
    ingress_metrics.REFUSALS.labels(error.code, str(error.status)).inc()
    event = RequestRefused(
        request=request.identity if request else "",
        status=error.status,
        code=error.code,
        retry_after=error.retry_after,
        config_version=state.configuration.version,
        seconds=trio.current_time() - arrived,
    )
    state.log.write(event, is_failure=error.status >= HTTPStatus.INTERNAL_SERVER_ERROR)
    body = orjson.dumps({"code": error.code, "message": error.message})
    headers = state.dialect.gateway_answer_headers(request, error.retry_after)
    await connection.respond(error.status, headers, body)


def as_refusal(error: BadRequestError) -> RequestRefusedError:
    """Return the refusal of a request that can't be read."""
    return RequestRefusedError(error.status, error.code, error.message)
