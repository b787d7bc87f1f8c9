"""Several gateways with aged views before several engines, in virtual time.

The gateways choose, plan moves and take each other's loads by the product's own code;
the engines are the stand-in's step function. Copies of one engine queue on its link.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import count
from random import Random

from devtools.bench.fleet_settings import (
    BACKUP_DELAY_SECONDS,
    FleetSettings,
    GUESS_SPREAD,
    NETWORK_SECONDS,
    PROMPT_MEDIAN,
    REPLACED_AFTER_SECONDS,
    SERVICE,
    SHORT_MEDIAN,
    SHORT_MOST,
    STEPS,
)
from devtools.bench.simulated_fleet import (
    FleetStream,
    Placing,
    SimulatedEngine,
    SimulatedGateway,
    URGENT_PRIORITY,
)
from devtools.bench.virtual_time import VirtualTime
from piershore.core.fleet.backup_policy import backup_memory_limit, fits_backup
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.evacuation_plan import (
    MoveMethod,
    plan_evacuation,
    PlannedMove,
)
from piershore.core.fleet.fleet_load import BackupWork
from piershore.core.fleet.generation_admission import (
    has_memory,
    retry_after_seconds,
)
from piershore.core.fleet.generation_work import GenerationSize, GenerationWork
from piershore.core.fleet.length_estimate import LENGTH_EXPECTATIONS
from piershore.core.fleet.memory_wait import max_memory_wait_seconds, MemoryWait
from piershore.core.fleet.report_timing import MIN_TRIGGERED_INTERVAL_SECONDS
from piershore.core.fleet.urgent_headroom import FleetSize


class FleetRun(VirtualTime):
    """One run; `streams` are all that arrived."""

    def __init__(self, settings: FleetSettings, seed: int) -> None:
        super().__init__()
        self._settings = settings
        self._engine = settings.work.engine
        self._expectation = LENGTH_EXPECTATIONS[settings.lengths]()
        self._random = Random(seed)
        self._numbers = count(settings.engines)
        self.streams: list[FleetStream] = []
        self.placings: list[Placing] = []
        self._engines: dict[str, SimulatedEngine] = {}
        self._gateways = [
            SimulatedGateway(number, settings, seed)
            for number in range(settings.gateways)
        ]
        self._by_name = {gateway.name: gateway for gateway in self._gateways}
        self.messages = 0
        callers = round(settings.callers_a_gateway * settings.gateways)
        self._callers = [self._random.choice(self._gateways) for _ in range(callers)]
        for number in range(settings.engines):
            self._add_engine(number)

    def run(self) -> list[FleetStream]:
        """Play until the time is over and all streams have ended."""
        settings = self._settings
        for place, gateway in enumerate(self._gateways):
            offset = settings.report_interval * place / len(self._gateways)
            self._at(offset, self._report_later, gateway)
        self._at(self._random.expovariate(settings.rate), self._arrive)
        if settings.reclaim_every:
            self._at(settings.reclaim_every, self._reclaim)
        self._play()
        return self.streams

    @property
    def _rate(self) -> float:
        """Arrivals per second now."""
        return self._settings.rate * (1 + self._extra_long_share)

    @property
    def _extra_long_share(self) -> float:
        """Long reviews of a burst, as a share of the usual arrivals."""
        factor = self._settings.long_burst.factor_at(self._now)
        return self._settings.work.long_share * (factor - 1)

    @property
    def _is_over(self) -> bool:
        return self._now >= self._settings.seconds

    def _add_engine(self, number: int) -> None:
        engine = SimulatedEngine(number, self._settings.work.steps)
        self._engines[engine.endpoint.identity] = engine
        for gateway in self._gateways:
            gateway.directory.put(engine.endpoint)

    def _report_later(self, gateway: SimulatedGateway) -> None:
        self._report(gateway)
        if not self._is_over:
            self._at(self._settings.report_interval, self._report_later, gateway)

    def _report(self, gateway: SimulatedGateway) -> None:
        """Tell the peers; what they get is as old as the network is slow."""
        loads = gateway.loads.own_loads()
        lengths = gateway.lengths.report(self._now)
        for peer in self._gateways:
            if peer is not gateway:
                self._at(
                    NETWORK_SECONDS, peer.loads.apply_report, gateway.name, loads, 0.0
                )
                peer.lengths.apply_report(gateway.name, lengths, self._now)

    def _tell_start(self, gateway: SimulatedGateway, endpoint: Endpoint) -> None:
        """Tell those who should know at once of the gateway's load at an engine."""
        load = gateway.loads.own(endpoint.identity)
        for peer in self._told_of_starts(gateway, endpoint):
            self.messages += 1
            self._at(
                NETWORK_SECONDS + MIN_TRIGGERED_INTERVAL_SECONDS,
                peer.loads.apply_update,
                gateway.name,
                endpoint.identity,
                load,
            )

    def _told_of_starts(
        self, gateway: SimulatedGateway, endpoint: Endpoint
    ) -> Iterator[SimulatedGateway]:
        if self._settings.subsets:
            for name in gateway.subsets.sharing_peers(endpoint):
                yield self._by_name[name]
        else:
            yield from (peer for peer in self._gateways if peer is not gateway)

    def _arrive(self) -> None:
        if self._is_over:
            return
        self._at(self._random.expovariate(self._rate), self._arrive)
        gateway = self._random.choice(self._callers or self._gateways)
        stream = self._new_stream(gateway)
        self.streams.append(stream)
        gateway.streams[stream.identity] = stream
        self._place(stream)

    def _new_stream(self, gateway: SimulatedGateway) -> FleetStream:
        """Return a long review or a short check, as the users' callers send them."""
        random, mix = self._random, self._settings.work
        extra_long = self._extra_long_share
        long_share = (mix.long_share + extra_long) / (1 + extra_long)
        is_long = random.random() < long_share
        median, most = SHORT_MEDIAN, SHORT_MOST
        if is_long:
            median, most = mix.long_median, mix.long_most
        length = 1 + int(median * random.lognormvariate(0, mix.length_spread))
        length = min(most, length)
        guess = max(1, int(length * random.lognormvariate(0, GUESS_SPREAD)))
        prompt = min(6_000, int(PROMPT_MEDIAN * random.lognormvariate(0, 0.4)))
        size = GenerationSize(prompt, most, guess)
        estimate = gateway.lengths.estimate(str(is_long), size, self._now)
        work = GenerationWork(size, estimate, self._expectation)
        identity = f"s-{len(self.streams)}"
        wait = MemoryWait(random)
        stream = FleetStream(identity, gateway, work, length, self._now, wait)
        if self._settings.urgent_short and not is_long:
            stream.priority = URGENT_PRIORITY
        gateway.headroom.record_arrival(SERVICE, stream.priority, work, self._now)
        return stream

    def _place(self, stream: FleetStream) -> None:
        gateway = stream.gateway
        choice = gateway.placement.for_generation(
            SERVICE, stream.work, self._engine, self._now
        )
        if choice is None:
            self._lose(stream)
            return
        if self._settings.refuses and not self._takes_room(stream, choice.load):
            return
        engine = self._engines[choice.endpoint.identity]
        self._note_placing(engine, choice.load)
        self._run_at(stream, engine, stream.work.size.prompt_tokens, stream.length)
        self._back_up(stream, choice.load)

    def _note_placing(self, engine: SimulatedEngine, load: EndpointLoad) -> None:
        staying = (e for e in self._engines.values() if not e.is_leaving)
        least = min((len(other.streams) for other in staying), default=0)
        self.placings.append(Placing(len(engine.streams), load.requests, least))

    def _takes_room(self, stream: FleetStream, load: EndpointLoad) -> bool:
        """Tell whether a stream starts now; else it looks again, or is refused."""
        reserved = self._reserved_tokens(stream)
        has_room = has_memory(load, stream.work, self._engine, reserved)
        pause = stream.wait.next_pause(has_memory=has_room)
        until = stream.arrived_at
        if self._settings.waits:
            until += max_memory_wait_seconds(self._settings.long_aim)
        if pause is not None and self._now + pause <= until:
            self._at(pause, self._place, stream)
            return False
        if not has_room:
            self._refuse(stream, load)
        return has_room

    def _reserved_tokens(self, stream: FleetStream) -> int:
        if not self._settings.headroom:
            return 0
        engines = len(stream.gateway.directory.of_service(SERVICE))
        return stream.gateway.headroom.tokens(
            SERVICE,
            stream.priority,
            self._engine.memory_tokens,
            FleetSize(self._settings.gateways, engines),
            self._now,
        )

    def _refuse(self, stream: FleetStream, load: EndpointLoad) -> None:
        """Send the caller away; it comes back once."""
        stream.refusals += 1
        if stream.refusals > 1:
            self._forget(stream)
            return
        seconds = retry_after_seconds(load) * self._random.uniform(0.75, 1.25)
        stream.came_back_after += self._now + seconds - stream.arrived_at
        stream.arrived_at = self._now + seconds
        stream.wait = MemoryWait(self._random)
        self._at(seconds, self._place, stream)

    def _run_at(
        self, stream: FleetStream, engine: SimulatedEngine, held: int, length: int
    ) -> None:
        stream.engine = engine
        stream.gateway.loads.add(engine.endpoint.identity, stream.work)
        if self._settings.tells_starts:
            self._tell_start(stream.gateway, engine.endpoint)
        if engine.is_gone:
            self._lose(stream)
            return
        engine.submit(stream, held, length)
        self._wake(engine)

    def _back_up(self, stream: FleetStream, load: EndpointLoad) -> None:
        room = backup_memory_limit(load, stream.work, self._engine)
        if not self._settings.moves or room is None:
            return
        gateway = stream.gateway
        choice = gateway.placement.for_generation(
            SERVICE,
            stream.work,
            self._engine,
            self._now,
            [stream.engine.endpoint.identity],
        )
        if choice is None or not fits_backup(
            choice.load, stream.work, self._engine, room
        ):
            return
        stream.backup = self._engines[choice.endpoint.identity]
        stream.backup_work = BackupWork(stream.work)
        gateway.loads.add(choice.endpoint.identity, stream.backup_work)

    def _wake(self, engine: SimulatedEngine) -> None:
        if engine.is_stepping or engine.is_gone or not engine.model.is_busy:
            return
        engine.is_stepping = True
        step = engine.model.step()
        self._at(step.duration, self._stepped, engine, step)

    def _stepped(self, engine: SimulatedEngine, step) -> None:
        engine.is_stepping = False
        if engine.is_gone:
            return
        for identity in step.preempted:
            if identity in engine.streams:
                engine.streams[identity].preemptions += 1
        for identity in step.progressed:
            if identity in engine.streams:
                self._progress(engine.streams[identity])
        for identity in step.finished:
            stream = engine.streams.pop(identity, None)
            if stream is not None:
                self._finish(stream)
        self._wake(engine)

    def _progress(self, stream: FleetStream) -> None:
        if stream.first_at is None:
            stream.first_at = self._now
            stream.work.has_begun = True
        else:
            pause = self._now - stream.last_at
            stream.longest_pause = max(stream.longest_pause, pause)
        stream.last_at = self._now
        stream.work.made_tokens += 1

    def _finish(self, stream: FleetStream) -> None:
        stream.is_whole = True
        work = stream.work
        is_long = work.size.max_output_tokens != SHORT_MOST
        stream.gateway.lengths.record(
            str(is_long), work.size, work.made_tokens, self._now
        )
        stream.gateway.headroom.record_served(
            SERVICE, stream.priority, work, self._now - stream.arrived_at
        )
        self._forget(stream)

    def _lose(self, stream: FleetStream) -> None:
        stream.is_lost = True
        self._forget(stream)

    def _forget(self, stream: FleetStream) -> None:
        gateway = stream.gateway
        gateway.streams.pop(stream.identity, None)
        if stream.engine is not None:
            gateway.loads.remove(stream.engine.endpoint.identity, stream.work)
        self._drop_backup(stream)

    def _drop_backup(self, stream: FleetStream) -> None:
        if stream.backup is not None:
            identity = stream.backup.endpoint.identity
            stream.gateway.loads.remove(identity, stream.backup_work)
        stream.backup = stream.backup_work = None

    def _reclaim(self) -> None:
        """Tell engines to leave; with a notice of 0 they just crash."""
        if self._is_over:
            return
        self._at(self._settings.reclaim_every, self._reclaim)
        staying = [e for e in self._engines.values() if not e.is_leaving]
        for engine in self._random.sample(staying, self._settings.reclaim_count):
            self._reclaim_one(engine)

    def _reclaim_one(self, engine: SimulatedEngine) -> None:
        settings = self._settings
        engine.is_leaving = True
        self._at(REPLACED_AFTER_SECONDS, self._add_engine, next(self._numbers))
        if settings.notice:
            for gateway in self._gateways:
                gateway.directory.mark_leaving(engine.endpoint.identity)
            if settings.moves:
                self._at(2 * NETWORK_SECONDS, self._evacuate, engine)
        self._at(settings.notice, self._go, engine)

    def _evacuate(self, engine: SimulatedEngine) -> None:
        """Begin the moves of the plan that each gateway makes for its own streams."""
        notes = [note for g in self._gateways for note in g.notes_at(engine)]
        for gateway in self._gateways:
            targets = tuple(gateway.directory.of_service(SERVICE))
            loads = {t.identity: gateway.loads.at(t.identity) for t in targets}
            for move in plan_evacuation(
                engine.endpoint, notes, targets, loads, self._engine
            ):
                stream = gateway.streams.get(move.request)
                if stream is not None:
                    self._start_move(stream, engine, move)

    def _start_move(
        self, stream: FleetStream, source: SimulatedEngine, move: PlannedMove
    ) -> None:
        if move.method is MoveMethod.BACKUP and stream.backup is not None:
            self._move(stream, source, stream.backup)
            return
        target = self._engines.get(move.target.identity)
        if target is None:
            return
        is_near = target.endpoint.data_hall == source.endpoint.data_hall
        seconds = self._engine.copy_seconds(
            stream.work.held_tokens, within_data_hall=is_near
        )
        self._at(move.start + seconds, self._move, stream, source, target)

    def _move(
        self, stream: FleetStream, source: SimulatedEngine, target: SimulatedEngine
    ) -> None:
        """Go on at the target, if the stream still runs at the source."""
        if source.streams.get(stream.identity) is not stream or source.is_gone:
            return
        if stream.first_at is None or target.is_gone:
            return
        source.streams.pop(stream.identity)
        source.model.cancel(stream.identity)
        self._go_on(stream, target)

    def _go_on(self, stream: FleetStream, target: SimulatedEngine) -> None:
        stream.gateway.loads.remove(stream.engine.endpoint.identity, stream.work)
        self._drop_backup(stream)
        stream.moves += 1
        left = stream.length - stream.work.made_tokens
        # The target has the copy; the model reads only what it lacks.
        target.model._prefixes[stream.identity[: STEPS.prefix_characters]] = (
            stream.work.held_tokens
        )
        self._run_at(stream, target, stream.work.held_tokens, max(1, left))

    def _go(self, engine: SimulatedEngine) -> None:
        """Lose the engine, and what it still runs and has no backup."""
        engine.is_gone = True
        identity = engine.endpoint.identity
        del self._engines[identity]
        for gateway in self._gateways:
            gateway.directory.remove(identity, self._now, after_outage=False)
            for stream in gateway.streams.values():
                if stream.backup is engine:
                    self._drop_backup(stream)
        for stream in list(engine.streams.values()):
            self._leave_crashed(stream)

    def _leave_crashed(self, stream: FleetStream) -> None:
        is_copied = (
            stream.first_at is not None
            and self._now - stream.first_at > BACKUP_DELAY_SECONDS
        )
        if stream.backup is not None and is_copied and not stream.backup.is_gone:
            self._go_on(stream, stream.backup)
        else:
            self._lose(stream)
