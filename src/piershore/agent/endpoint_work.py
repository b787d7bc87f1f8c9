"""The work of an agent on its endpoint, by the service's type."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import Service, ServiceType
from piershore.core.ownership.interval import Owner, SlotInterval
from piershore.core.ports import PlatformStore
from piershore.settings.process_settings import AgentSettings
from piershore.wire.link_pb2 import AgentFrame, GatewayFrame


@dataclass(frozen=True)
class WorkContext:
    """What an agent hands to its work.

    `send` puts a frame on a link; `changed` asks for a heartbeat on all links.
    """

    owner: Owner
    settings: AgentSettings
    service: Service
    store: PlatformStore
    config: ConfigView
    send: Callable[[int, AgentFrame], None]
    changed: Callable[[], None]


@dataclass(frozen=True)
class WorkLoad:
    """Load of the endpoint as its agent sees it, without lag."""

    running: int = 0
    queued: int = 0
    free_share: float = 1.0
    tokens_per_second: float = 0.0


class EndpointWork(ABC):
    """Serves the requests of all links; all methods run in the trio thread."""

    @classmethod
    @abstractmethod
    def create(cls, context: WorkContext) -> EndpointWork:
        """Build the work and its connection to the endpoint."""

    @property
    @abstractmethod
    def load(self) -> WorkLoad:
        """The load now."""

    @property
    @abstractmethod
    def is_idle(self) -> bool:
        """Whether nothing is left to finish."""

    @property
    def intervals(self) -> Iterable[SlotInterval]:
        """Mint times whose non-repeatable keys this agent may run."""
        return ()

    @abstractmethod
    async def run(self) -> None:
        """Work until cancelled."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connection to the endpoint."""

    @abstractmethod
    def leave(self) -> None:
        """Refuse new work from now on."""

    @abstractmethod
    def frame_received(self, link: int, frame: GatewayFrame) -> None:
        """Handle a request's frame."""

    @abstractmethod
    def link_closed(self, link: int) -> None:
        """Take note that a link is gone."""


WORKS: dict[ServiceType, type[EndpointWork]] = {}


def endpoint_work(
    service_type: ServiceType,
) -> Callable[[type[EndpointWork]], type[EndpointWork]]:
    """Register the work for endpoints of one type of service."""

    def register(work: type[EndpointWork]) -> type[EndpointWork]:
        WORKS[service_type] = work
        return work

    return register
