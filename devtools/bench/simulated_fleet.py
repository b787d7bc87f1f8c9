"""Engines, gateways and streams of the simulated fleet."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from devtools.bench.fleet_settings import ENGINE, FleetSettings, HALLS, SERVICE
from piershore.core.fleet.cold_starts import ColdStarts
from piershore.core.fleet.data_hall_stalls import DataHallStalls
from piershore.core.fleet.endpoint import Address, Endpoint, EndpointStage
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_health import EndpointHealth
from piershore.core.fleet.endpoint_rate_limits import EndpointRateLimits
from piershore.core.fleet.evacuation_plan import StreamReport
from piershore.core.fleet.fleet_load import BackupWork, FleetLoad
from piershore.core.fleet.generation_work import GenerationWork
from piershore.core.fleet.memory_wait import MemoryWait
from piershore.core.fleet.output_lengths import OutputLengths
from piershore.core.fleet.placement import Placement
from piershore.core.fleet.placement_policy import PLACEMENT_POLICIES
from piershore.core.fleet.rate_shares import RateShares
from piershore.core.fleet.requested_backoffs import RequestedBackoffs
from piershore.core.fleet.subsetting import EndpointSubsets
from piershore.core.fleet.urgent_headroom import UrgentHeadroom
from piershore.core.mechanism import Mechanism
from piershore.core.routes.current_configuration import CurrentConfiguration
from standins.engine_model import EngineModel, EngineSettings

LONG_PRIORITY, URGENT_PRIORITY = 2, 0
"""Priorities as routes have them: 0 is the most urgent."""


@dataclass(frozen=True)
class Placing:
    """A choice beside the truth: generations at the engine, known there, and at the
    least loaded one.
    """

    there: int
    known: int
    least: int

    @property
    def excess(self) -> int:
        """How many more generations were there than at the best choice."""
        return self.there - self.least


@dataclass
class FleetStream:
    """One generation, and what its caller saw; times in virtual seconds."""

    identity: str
    gateway: SimulatedGateway
    work: GenerationWork
    length: int
    arrived_at: float
    wait: MemoryWait
    engine: SimulatedEngine | None = None
    backup: SimulatedEngine | None = None
    backup_work: BackupWork | None = None
    first_at: float | None = None
    last_at: float = 0.0
    longest_pause: float = 0.0
    preemptions: int = 0
    moves: int = 0
    refusals: int = 0
    came_back_after: float = 0.0
    is_whole: bool = False
    is_lost: bool = False
    priority: int = LONG_PRIORITY


class SimulatedEngine:
    """An engine with the streams that it runs."""

    def __init__(self, number: int, steps: EngineSettings) -> None:
        self.endpoint = Endpoint(
            f"i-{number}",
            SERVICE,
            Address("10.0.0.1", number + 1),
            HALLS[number % len(HALLS)],
            ENGINE.slots,
            EndpointStage.READY,
        )
        self.model = EngineModel(steps)
        self.streams: dict[str, FleetStream] = {}
        self.is_leaving = False
        self.is_gone = False
        self.is_stepping = False

    def submit(self, stream: FleetStream, held_tokens: int, length: int) -> None:
        """Run a generation, or what is left of it, from `held_tokens` of memory."""
        self.streams[stream.identity] = stream
        rank = LONG_PRIORITY - stream.priority
        self.model.submit(stream.identity, stream.identity, held_tokens, length, rank)


class SimulatedGateway:
    """A gateway's view and choices."""

    def __init__(self, number: int, settings: FleetSettings, seed: int) -> None:
        self.name = gateway_name(number)
        self.directory = EndpointDirectory()
        self.subsets = EndpointSubsets(self.name, self.directory)
        self.subsets.set_peers(map(gateway_name, range(settings.gateways)))
        configuration = CurrentConfiguration()
        shares = RateShares(self.name, self.subsets, configuration)
        self.loads = FleetLoad()
        self.lengths = OutputLengths()
        self.headroom = UrgentHeadroom()
        self.streams: dict[str, FleetStream] = {}
        self.placement = Placement(
            HALLS[number % len(HALLS)],
            self.directory,
            self.loads,
            EndpointHealth(),
            Random(seed + number),
            PLACEMENT_POLICIES[settings.policy](),
            DataHallStalls(),
            self.subsets,
            ColdStarts(shares, configuration),
            RequestedBackoffs(),
            EndpointRateLimits(shares),
            frozenset() if settings.subsets else {Mechanism.SUBSETS},
        )

    def notes_at(self, engine: SimulatedEngine) -> Iterator[StreamReport]:
        """Yield what this gateway tells of its streams at an engine that leaves."""
        for stream in self.streams.values():
            if stream.engine is engine:
                yield StreamReport(
                    stream.identity,
                    stream.work.held_tokens,
                    stream.work.has_begun,
                    stream.backup is not None,
                )


def gateway_name(number: int) -> str:
    """Return the name of a gateway, by which all order them."""
    return f"gateway-{number}"
