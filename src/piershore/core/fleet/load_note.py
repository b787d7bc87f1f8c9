"""What a gateway tells at once to those who share an endpoint with it."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.peer_report import InvalidReportError

MARK = b"+"
"""Begins a note; reports begin with a bracket."""


@dataclass(frozen=True)
class LoadNote:
    """A gateway's whole load at one endpoint, so that a note may be lost or repeated.

    `number` is counted together with the reports of the same `incarnation`: a note
    that a later report has overtaken tells nothing new.
    """

    host: str
    incarnation: str
    number: int
    endpoint: str
    load: EndpointLoad

    @staticmethod
    def is_note(data: bytes) -> bool:
        """Tell whether a datagram is a note, and not a report."""
        return data.startswith(MARK)

    def encode(self) -> bytes:
        """Return the datagram."""
        load = self.load
        return MARK + orjson.dumps(
            [
                self.host,
                self.incarnation,
                self.number,
                self.endpoint,
                load.requests,
                load.held_tokens,
                load.projected_tokens,
                load.unread_tokens,
            ]
        )

    @classmethod
    def decode(cls, data: bytes) -> LoadNote:
        """Read a datagram; raise `InvalidReportError` if it isn't a note."""
        try:
            host, incarnation, number, endpoint, *load = orjson.loads(data[len(MARK) :])
            requests, held, projected, unread = map(int, load)
            return cls(
                str(host),
                str(incarnation),
                int(number),
                str(endpoint),
                EndpointLoad(requests, held, projected, unread),
            )
        except (ValueError, TypeError, OverflowError) as error:
            raise InvalidReportError(f"not a note of load: {error!r}") from error
