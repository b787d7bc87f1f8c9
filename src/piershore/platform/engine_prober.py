"""Probes engines for their reports."""

from __future__ import annotations

from typing import Any

import orjson

from piershore.core.fleet.endpoint import Address
from piershore.core.streams.silence import EndpointReport
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import ExchangeBrokenError
from piershore.http1.message import RequestHead
from piershore.ingress.ports import EndpointProber

STATUS_OK = 200
LEAVING_STATE = "draining"


class EngineProber(EndpointProber):
    """Requests an engine's report, which takes no slot of its batch."""

    async def probe(
        self, connection: ClientConnection, address: Address
    ) -> EndpointReport:
        """Request the report; raise `ExchangeBrokenError` if there is none."""
        headers = ((b"host", str(address).encode()),)
        await connection.send(RequestHead(b"GET", b"/report", headers), b"")
        head = await connection.read_head()
        body = await connection.read_body()
        if head.status != STATUS_OK:
            raise ExchangeBrokenError(f"no report: status {head.status}")
        try:
            return _decode(orjson.loads(body))
        except (
            ValueError,
            AttributeError,
            TypeError,
            LookupError,
            OverflowError,
        ) as error:
            raise ExchangeBrokenError(f"invalid report: {error!r}") from error


def _decode(report: dict[str, Any]) -> EndpointReport:
    # Milliseconds until the engine leaves; present once that is known.
    leaves_ms = report.get("leaves_ms")
    # Each run: request, tokens in memory, generated events, priority.
    runs = report.get("runs") or ()
    born = report.get("born")
    return EndpointReport(
        is_leaving=report.get("state") == LEAVING_STATE or bool(leaves_ms),
        generated_events={str(run[0]): int(run[2]) for run in runs},
        born=born if type(born) is int else 0,
    )
