"""A request under which engines crash comes again and again, in virtual time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from itertools import count

from devtools.bench.fleet_settings import (
    FleetSettings,
    NETWORK_SECONDS,
    REPLACED_AFTER_SECONDS,
    SERVICE,
)
from devtools.bench.fleet_simulation import FleetRun
from devtools.bench.simulated_fleet import (
    FleetStream,
    SimulatedEngine,
    SimulatedGateway,
)
from piershore.core.fleet.generation_work import GenerationSize, GenerationWork
from piershore.core.fleet.length_estimate import LengthEstimate
from piershore.core.quarantine.crash_report import CrashReport
from piershore.core.quarantine.endpoint_runs import EndpointRun, EndpointRuns
from piershore.core.quarantine.quarantine import CRASHES_BEFORE_QUARANTINE, Quarantine

CRASH_SECONDS = 0.1
"""From the begin of the request's run to the engine's crash."""
CHECK_SECONDS = 0.002
"""A gateway finds out so soon that a crashed engine refuses connections."""
REPEAT_SECONDS = 0.3
"""News is told twice, as gateways do."""
COME_BACK_SECONDS = 0.5
"""Callers whose generation broke off come again so soon, all of them and once."""
CRASHING_WORK = GenerationWork(GenerationSize(882, 48, 2), LengthEstimate.exactly(2))
"""A short check, as small as the one that was recorded."""
CRASHING = "crashing"


@dataclass(frozen=True)
class CrashSettings:
    """How often the request comes, and how bad the links between gateways are."""

    repeat_every: float
    lost_share: float = 0.0
    most_crashes: int = CRASHES_BEFORE_QUARANTINE


@dataclass
class _Knowledge:
    """What one gateway knows of runs and crashes."""

    quarantine: Quarantine
    runs: EndpointRuns = field(default_factory=EndpointRuns)


class CrashRun(FleetRun):
    """A fleet's run in which one request crashes each engine that begins to run it.

    `crashes` are the times at which engines ended under it, `refused` is how often it
    was not sent, `came_back` how many other streams came again after a crash, and
    `innocents_refused` how many of these were held.
    """

    def __init__(
        self, settings: FleetSettings, seed: int, crashing: CrashSettings
    ) -> None:
        super().__init__(settings, seed)
        self._crashing = crashing
        self._known = {
            gateway.name: _Knowledge(Quarantine(crashing.most_crashes))
            for gateway in self._gateways
        }
        self._open_runs: dict[str, tuple[str, EndpointRun]] = {}
        self._contents: dict[str, str] = {}
        self._tries = count()
        self.crashes: list[float] = []
        self.refused = 0
        self.came_back = 0
        self.innocents_refused = 0

    def run(self) -> list[FleetStream]:
        """Play until the time is over; return the streams of the other callers."""
        self._at(self._crashing.repeat_every, self._repeat)
        return super().run()

    def _repeat(self) -> None:
        if self._is_over:
            return
        gap = self._random.expovariate(1 / self._crashing.repeat_every)
        self._at(gap, self._repeat)
        stream = self._new_stream(self._random.choice(self._gateways))
        identity = f"{CRASHING}-{next(self._tries)}"
        self._contents[identity] = CRASHING
        self._send(replace(stream, identity=identity, work=CRASHING_WORK))

    def _send(self, stream: FleetStream) -> None:
        """Send the request to an engine, unless the gateway holds it."""
        gateway = stream.gateway
        quarantine = self._known[gateway.name].quarantine
        if quarantine.seconds_until_release(CRASHING, self._now) is not None:
            self.refused += 1
            return
        choice = gateway.placement.for_generation(
            SERVICE, stream.work, self._engine, self._now
        )
        if choice is None:
            return
        if quarantine.record_sent(CRASHING, self._now):
            self._tell(gateway, CRASHING)
        engine = self._engines[choice.endpoint.identity]
        self._begin_run(stream, engine)
        self._at(CRASH_SECONDS, self._crash, engine)

    def _crash(self, engine: SimulatedEngine) -> None:
        if engine.is_gone:
            return
        self.crashes.append(self._now)
        engine.is_leaving = True
        self._at(REPLACED_AFTER_SECONDS, self._add_engine, next(self._numbers))
        self._at(CHECK_SECONDS, self._blame, engine.endpoint.identity)
        self._go(engine)

    def _blame(self, identity: str) -> None:
        """Let each gateway suspect what it has just sent to a crashed engine."""
        for gateway in self._gateways:
            known = self._known[gateway.name]
            for run in list(known.runs.suspects(identity, self._now)):
                if known.quarantine.record_crash(run.content, identity, self._now):
                    self._tell(gateway, run.content)

    def _tell(self, gateway: SimulatedGateway, content: str) -> None:
        note = self._known[gateway.name].quarantine.report(content)
        for pause in (0.0, REPEAT_SECONDS):
            for peer in self._heard_by(gateway):
                self._at(pause + NETWORK_SECONDS, self._take, peer, note)

    def _heard_by(self, gateway: SimulatedGateway) -> Iterable[SimulatedGateway]:
        for peer in self._gateways:
            is_lost = self._random.random() < self._crashing.lost_share
            if peer is not gateway and not is_lost:
                yield peer

    def _take(self, gateway: SimulatedGateway, note: CrashReport) -> None:
        self._known[gateway.name].quarantine.apply_report(note, self._now)

    def _content(self, stream: FleetStream) -> str:
        return self._contents.get(stream.identity, stream.identity)

    def _begin_run(self, stream: FleetStream, engine: SimulatedEngine) -> None:
        identity = engine.endpoint.identity
        runs = self._known[stream.gateway.name].runs
        run = runs.begin(identity, stream.identity, self._content(stream))
        self._open_runs[stream.identity] = (identity, run)

    def _run_at(
        self, stream: FleetStream, engine: SimulatedEngine, held: int, length: int
    ) -> None:
        self._end_run(stream)
        self._begin_run(stream, engine)
        super()._run_at(stream, engine, held, length)

    def _end_run(self, stream: FleetStream) -> None:
        identity, run = self._open_runs.pop(stream.identity, (None, None))
        if run is not None:
            self._known[stream.gateway.name].runs.end(identity, run)

    def _progress(self, stream: FleetStream) -> None:
        super()._progress(stream)
        identity, run = self._open_runs[stream.identity]
        run.record_chunk(self._now)
        self._known[stream.gateway.name].runs.record_alive(identity, self._now)

    def _finish(self, stream: FleetStream) -> None:
        super()._finish(stream)
        self._end_run(stream)
        content = self._content(stream)
        if self._known[stream.gateway.name].quarantine.record_completion(
            content, self._now
        ):
            self._tell(stream.gateway, content)

    def _lose(self, stream: FleetStream) -> None:
        """Let a stream that broke off come again, at any gateway."""
        super()._lose(stream)
        identity, run = self._open_runs.pop(stream.identity, (None, None))
        if run is not None:
            runs = self._known[stream.gateway.name].runs
            runs.abandon(identity, run, self._now)
        if stream.identity in self._contents or self._is_over:
            return
        self.came_back += 1
        self._at(COME_BACK_SECONDS, self._come_back, stream)

    def _come_back(self, lost: FleetStream) -> None:
        stream = self._new_stream(self._random.choice(self._gateways))
        stream.identity = f"{lost.identity}-{next(self._tries)}"
        self._contents[stream.identity] = self._content(lost)
        quarantine = self._known[stream.gateway.name].quarantine
        if quarantine.seconds_until_release(self._content(lost), self._now) is not None:
            self.innocents_refused += 1
            return
        stream.gateway.streams[stream.identity] = stream
        self.streams.append(stream)
        self._place(stream)
