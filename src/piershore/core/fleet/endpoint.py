"""An endpoint as the platform lists it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


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
    """One incarnation of an endpoint; a restart is another endpoint."""

    identity: str
    service: str
    address: Address
    data_hall: str
    slots: int
    stage: EndpointStage
