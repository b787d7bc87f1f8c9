"""What an engine says of itself when it is asked."""

from __future__ import annotations

import orjson

from piershore.core.fleet.endpoint import Address
from piershore.http1.client_connection import ClientConnection
from piershore.http1.exceptions import ExchangeBrokenError
from piershore.http1.message import RequestHead
from piershore.ingress.ports import EndpointReports

STATUS_OK = 200
LEAVING_STATE = "draining"


class EngineReports(EndpointReports):
    """Asks for an engine's report, which takes no place in its batch."""

    async def is_leaving(self, connection: ClientConnection, address: Address) -> bool:
        """Ask whether the engine leaves."""
        headers = ((b"host", str(address).encode()),)
        await connection.send(RequestHead(b"GET", b"/report", headers), b"")
        head = await connection.read_head()
        body = await connection.read_body()
        if head.status != STATUS_OK:
            return False
        try:
            report = orjson.loads(body)
            # Time until it goes; only told once that is known.
            leaves_in = report.get("leaves_ms")
            return report.get("state") == LEAVING_STATE or bool(leaves_in)
        except (orjson.JSONDecodeError, AttributeError) as error:
            raise ExchangeBrokenError(f"not a report: {error}") from error
