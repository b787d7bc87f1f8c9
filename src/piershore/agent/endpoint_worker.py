"""Interface and registry of the workers that run requests on an endpoint."""

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
class WorkerContext:
    """What an agent passes to its worker.

    `send` queues a frame on a link; `request_heartbeat` sends a heartbeat on all links.
    """

    owner: Owner
    settings: AgentSettings
    service: Service
    store: PlatformStore
    config: ConfigView
    send: Callable[[int, AgentFrame], None]
    request_heartbeat: Callable[[], None]


@dataclass(frozen=True)
class WorkerLoad:
    """Current load of the endpoint as counted by its agent.

    `free_share` is the free fraction of the endpoint's memory.
    """

    running: int = 0
    queued: int = 0
    free_share: float = 1.0
    tokens_per_second: float = 0.0


class EndpointWorker(ABC):
    """Runs the requests of all links; all methods are called in the trio thread."""

    @classmethod
    @abstractmethod
    def create(cls, context: WorkerContext) -> EndpointWorker:
        """Build the worker and its connection to the endpoint."""

    @property
    @abstractmethod
    def load(self) -> WorkerLoad:
        """The current load."""

    @property
    @abstractmethod
    def is_idle(self) -> bool:
        """Whether there are no requests left to finish."""

    @property
    def intervals(self) -> Iterable[SlotInterval]:
        """Intervals of mint times whose non-repeatable keys this agent may run."""
        return ()

    @abstractmethod
    async def run(self) -> None:
        """Run requests until cancelled."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connection to the endpoint."""

    @abstractmethod
    def leave(self) -> None:
        """Refuse new work from now on."""

    @abstractmethod
    def frame_received(self, link: int, frame: GatewayFrame) -> None:
        """Handle a frame that concerns a request."""

    @abstractmethod
    def link_closed(self, link: int) -> None:
        """Handle the end of a link."""


WORKERS_BY_SERVICE_TYPE: dict[ServiceType, type[EndpointWorker]] = {}


def register_worker(
    service_type: ServiceType,
) -> Callable[[type[EndpointWorker]], type[EndpointWorker]]:
    """Register a worker class for endpoints of one service type."""

    def register(worker: type[EndpointWorker]) -> type[EndpointWorker]:
        WORKERS_BY_SERVICE_TYPE[service_type] = worker
        return worker

    return register
