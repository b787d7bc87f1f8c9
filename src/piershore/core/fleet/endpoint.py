"""An endpoint as listed in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property

MAX_PORT = 65_535


def parse_port(text: str) -> int:
    """Parse a port, also 0; raise ValueError if the text isn't one."""
    is_decimal = text.isascii() and text.isdigit()
    if not is_decimal or int(text) > MAX_PORT:
        raise ValueError(f"{text!r} is not a port")
    return int(text)


class EndpointStage(StrEnum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Address:
    """Where a process listens."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse `HOST:PORT`; raise ValueError if the text has another form."""
        host, separator, port = text.rpartition(":")
        if not separator or not host:
            raise ValueError(f"{text!r} is not HOST:PORT")
        return cls(host, parse_port(port))


@dataclass(frozen=True)
class Endpoint:
    """One incarnation of an endpoint; after a restart it is another `Endpoint`.

    `name` stays the same across restarts. `born` is when this incarnation started, in
    milliseconds since 1970; 0 if its entry doesn't say. `cold_seconds` is how much
    longer the endpoint needed to warm up when its entry was written.
    """

    name: str
    service: str
    address: Address
    data_hall: str
    slots: int
    stage: EndpointStage
    born: int = 0
    cold_seconds: float = field(default=0.0, compare=False)

    @cached_property
    def identity(self) -> str:
        """The key for everything that is known about this incarnation."""
        return f"{self.name}@{self.born}" if self.born else self.name
