"""An endpoint as the platform lists it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property


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
        """Read `HOST:PORT`; raise ValueError if it isn't that."""
        host, separator, port = text.rpartition(":")
        if not separator or not host:
            raise ValueError(f"{text!r} is not HOST:PORT")
        return cls(host, int(port))


@dataclass(frozen=True)
class Endpoint:
    """One incarnation of an endpoint; a restart is another endpoint.

    `name` is what the endpoint calls itself, also after a restart; `born` is when
    this incarnation began, in milliseconds since 1970, or 0 if it doesn't say so.
    `cold_seconds` is how much longer it was cold when it said so last.
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
        """What is known of the endpoint hangs on this: it is new after a restart."""
        return f"{self.name}@{self.born}" if self.born else self.name
