"""The message that reports a change of load at once to peers sharing an endpoint."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.peer_report import InvalidReportError
from piershore.core.numbers import checked_integer

LOAD_UPDATE_PREFIX = b"+"
"""First byte of a load update; reports start with a bracket."""


@dataclass(frozen=True)
class LoadUpdate:
    """A gateway's total load at one endpoint, so that updates may be lost or repeated.

    `number` comes from the same sequence as the reports of this `incarnation`: an
    update that a later report has overtaken is ignored.
    """

    host: str
    incarnation: str
    number: int
    endpoint: str
    load: EndpointLoad

    def encode(self) -> bytes:
        """Return the update as a datagram."""
        load = self.load
        return LOAD_UPDATE_PREFIX + orjson.dumps(
            [
                self.host,
                self.incarnation,
                self.number,
                self.endpoint,
                load.requests,
                load.held_tokens,
                load.projected_tokens,
                load.pending_prompt_tokens,
            ]
        )

    @classmethod
    def decode(cls, data: bytes) -> LoadUpdate:
        """Decode a datagram; raise `InvalidReportError` if it isn't a load update."""
        try:
            host, incarnation, number, endpoint, *load = orjson.loads(
                data[len(LOAD_UPDATE_PREFIX) :]
            )
            requests, held, projected, pending_prompt = map(checked_integer, load)
            return cls(
                str(host),
                str(incarnation),
                checked_integer(number),
                str(endpoint),
                EndpointLoad(requests, held, projected, pending_prompt),
            )
        except (ValueError, TypeError, OverflowError) as error:
            raise InvalidReportError(f"not a load update: {error!r}") from error
