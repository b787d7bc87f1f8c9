"""The process of a gateway that forwards requests along the platform's routes."""

from __future__ import annotations

import gc
import signal
from collections.abc import Awaitable, Callable, Iterable
from math import inf
from random import Random

import trio

from piershore.core.attempts.leaving import ROUTING_LAG_SECONDS
from piershore.core.fleet.drained_halls import DrainedHalls
from piershore.core.fleet.endpoint_directory import Departure
from piershore.core.fleet.peer_report import DepartureReport
from piershore.core.fleet.policies import Policies
from piershore.core.fleet.store_silence import StoreLiveness
from piershore.core.mechanism import Mechanism
from piershore.ingress.callers.caller_service import CallerService
from piershore.ingress.callers.listeners import Listeners
from piershore.ingress.callers.status_service import StatusService
from piershore.ingress.calls.call_forwarder import CallForwarder
from piershore.ingress.followers.configuration_follower import ConfigurationFollower
from piershore.ingress.followers.drain_follower import DrainFollower
from piershore.ingress.followers.endpoint_follower import EndpointFollower
from piershore.ingress.followers.store_access import (
    relied_on_watch_seconds,
    StoreAccess,
)
from piershore.ingress.followers.store_follower import StoreFollower
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.live_stream import LiveStream, LiveStreams, RunState
from piershore.ingress.moves.move_coordinator import MoveCoordinator
from piershore.ingress.peers.crash_reporter import CrashReporter
from piershore.ingress.peers.load_update_sender import LoadUpdateSender
from piershore.ingress.peers.outage_prober import OutageProber
from piershore.ingress.peers.peer_documents import PeerDocuments
from piershore.ingress.peers.peer_link import PeerLink
from piershore.ingress.peers.rate_loan_exchange import RateLoanExchange
from piershore.ingress.peers.speed_reporter import SpeedReporter
from piershore.ingress.ports import (
    ConfigurationFeed,
    DrainFeed,
    EndpointFeed,
    EndpointProber,
    GenerationMover,
    RequestDialect,
)
from piershore.ingress.streams.silence_watch import SilenceWatch
from piershore.ingress.streams.stream_forwarder import StreamForwarder
from piershore.settings.box_settings import BoxSettings
from piershore.stop_signals import open_stop_receiver
from piershore.telemetry import ingress_metrics
from piershore.telemetry.event_log import EventLog
from piershore.telemetry.events import (
    EndpointLeft,
    HallDrained,
    ProcessStarted,
    ProcessStopped,
    ProcessStopping,
    SettingsChanged,
)

WATCH_SECONDS = 4.0
"""Timeout of a watch. A connection that was cut silently is detected after it; a
shorter timeout would need more calls, and each call has a price. Only a gateway on
which others rely watches for less (`relied_on_watch_seconds`)."""
DRAIN_WATCH_SECONDS = 12.0
"""Longer than `WATCH_SECONDS`, since drains are rare and each call has a price. TCP
probes detect a silent connection after 2 s, and peers report what a watcher misses."""
FRESHNESS_SLACK_SECONDS = 1.5
"""Added to the timeout of a watch: an answer counts as fresh up to this age."""
MIN_LEAVE_SECONDS = 2.6
"""Time until the platform stops routing to this box: it needs two failed checks, one a
second."""
STOP_MARGIN_SECONDS = 0.4
"""Time reserved for exiting before the platform kills the process."""
SWEEP_INTERVAL_SECONDS = 1.0
RESTART_DELAY_SECONDS = 0.2
"""Delay before a task that failed with an unexpected error is restarted."""


class IngressDaemon:
    """Runs a gateway until it is told to stop."""

    def __init__(
        self,
        settings: BoxSettings,
        dialect: RequestDialect,
        mover: GenerationMover,
        configuration_feed: ConfigurationFeed,
        endpoint_feed: EndpointFeed,
        drain_feed: DrainFeed,
        endpoint_prober: EndpointProber,
        metrics_port: int | None = None,
        policies: Policies | None = None,
    ) -> None:
        self._settings = settings
        self._log = EventLog(settings.name)
        self._state = GatewayState(
            settings.data_hall,
            dialect,
            settings.retry_limits,
            self._log,
            Random(),
            settings.host,
            policies or Policies(),
        )
        self._live = LiveStreams()
        self._moves = MoveCoordinator(self._state, self._live, mover)
        self._callers = CallerService(
            self._state,
            CallForwarder(self._state),
            StreamForwarder(self._state, self._live, self._moves),
        )
        self._configuration = ConfigurationFollower(
            self._state, configuration_feed, WATCH_SECONDS
        )
        self._endpoints = EndpointFollower(
            self._state, endpoint_feed, WATCH_SECONDS, self._on_departure
        )
        self._state.notices.start(
            self._endpoints.handle_departures, self._announce_to_peers
        )
        self._drains = DrainFollower(
            self._state, drain_feed, DRAIN_WATCH_SECONDS, self._on_drained
        )
        for follower in self._followers:
            follower.set_era_callback(self._on_new_era)
        self._store_access = StoreAccess(
            (self._configuration.health, self._endpoints.health),
            self._announce_store_access,
            self._log,
        )
        self._endpoint_prober = endpoint_prober
        self._status = StatusService(self._is_ready)
        self._metrics_port = metrics_port
        self._peers: PeerLink | None = None
        self._crash_reporter: CrashReporter | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        self._log.start()
        cut_off = 0
        try:
            async with trio.open_nursery() as nursery:
                stop = trio.Event()
                await nursery.start(self._watch_signals, stop)
                await nursery.start(self.serve)
                gc.freeze()
                gc.enable()
                await stop.wait()
                await self.leave()
                cut_off = self._state.in_flight
                nursery.cancel_scope.cancel()
        finally:
            self._log.write(ProcessStopped(cut_off), is_failure=True)
            self._log.flush()

    async def serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        link = PeerLink(
            self._state,
            self._settings,
            self._live,
            self._reads_store,
            self._store_liveness,
            self._endpoints.apply_departure,
            self._drains,
        )
        self._peers = link
        self._state.announce = link.announce
        self._state.announce_failure = link.announce_failure
        load_updates = LoadUpdateSender(self._state, link)
        self._crash_reporter = crash_reporter = CrashReporter(self._state, link)
        speed_reporter = SpeedReporter(self._state, link)
        rate_loans = RateLoanExchange(self._state, link)
        if self._state.is_enabled(Mechanism.SUBSETS):
            self._state.announce_load = load_updates.schedule_update
        self._state.seconds_until_accepted = link.seconds_until_accepted
        self._configuration.set_watch_condition(link.should_watch)
        self._endpoints.set_watch_condition(link.should_watch)
        self._drains.set_watch_condition(link.should_watch)
        # The answers to one kind of watch show that the store answers the others, too.
        self._endpoints.set_watch_limit(self._watch_limit)
        documents = PeerDocuments(
            self._state, self._settings, link, self._configuration, self._endpoints
        )
        outage_prober = OutageProber(
            self._state,
            self._settings.host,
            self._endpoint_prober,
            self._endpoints,
            link,
        )
        silence_watch = SilenceWatch(
            self._state, self._live, self._moves, self._endpoint_prober
        )
        await link.start()
        try:
            async with trio.open_nursery() as nursery:
                self._moves.start(nursery, link)
                self._state.crash_detector.start(nursery, crash_reporter.announce)
                crash_reporter.start(nursery)
                if self._state.is_enabled(Mechanism.RATE_LOANS):
                    rate_loans.start(nursery)
                    nursery.start_soon(self._supervise, rate_loans.run)
                nursery.start_soon(self._supervise, self._state.crash_detector.sweep)
                nursery.start_soon(self._supervise, crash_reporter.run)
                if self._state.is_enabled(Mechanism.ENDPOINT_SPEEDS):
                    speed_reporter.start()
                    nursery.start_soon(self._supervise, speed_reporter.run)
                await self._start(nursery, link, load_updates, documents)
                if self._state.is_enabled(Mechanism.OUTAGE_QUESTIONS):
                    nursery.start_soon(self._supervise, outage_prober.run)
                if self._state.is_enabled(Mechanism.SILENCE_QUESTIONS):
                    nursery.start_soon(self._supervise, silence_watch.run)
                self._log.write(
                    ProcessStarted(link.incarnation, self._settings.data_hall)
                )
                task_status.started()
        finally:
            link.close()

    async def _start(
        self,
        nursery: trio.Nursery,
        link: PeerLink,
        load_updates: LoadUpdateSender,
        documents: PeerDocuments,
    ) -> None:
        settings = self._settings
        listeners = Listeners(nursery, self._log)
        await listeners.listen_to_callers(
            settings.callers_address, self._callers.serve, self._is_ready
        )
        ready = settings.ready_address
        await listeners.listen(ready.host, ready.port, self._status.serve_readiness)
        await listeners.listen(settings.host, settings.peer_ports[0], documents.serve)
        if self._metrics_port is not None:
            await listeners.listen(
                settings.host, self._metrics_port, self._status.serve_metrics
            )
        if self._can_drain:
            nursery.start_soon(self._supervise, self._drains.run)
            nursery.start_soon(self._supervise, self._drains.sweep)
        for task in (
            self._configuration.run,
            self._endpoints.run,
            self._endpoints.sweep,
            self._store_access.run,
            link.receive,
            link.send,
            load_updates.run,
            documents.follow,
            self._sweep_connections,
            self._log.run,
        ):
            nursery.start_soon(self._supervise, task)

    async def _supervise(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task forever; restart it after an unexpected error."""
        while True:
            try:
                await task()
            except Exception as error:
                self._log.write_internal_error(task.__qualname__, error)
            await trio.sleep(RESTART_DELAY_SECONDS)

    def _reads_store(self) -> bool:
        is_fresh = self._endpoints.health.is_fresh(
            WATCH_SECONDS + FRESHNESS_SLACK_SECONDS
        )
        return is_fresh and not self._store_access.is_silent

    def _watch_limit(self) -> float:
        if self._peers is None or not self._peers.is_relied_on():
            return inf
        return relied_on_watch_seconds(self._settings.change_seconds)

    def _store_liveness(self) -> StoreLiveness:
        observations = (
            self._configuration.health.liveness(),
            self._endpoints.health.liveness(),
        )
        return StoreLiveness(
            min(one.answer_age for one in observations),
            any(one.is_overdue for one in observations),
        )

    def _is_ready(self) -> bool:
        return (
            not self._state.is_leaving
            and self._state.configuration.value is not None
            and self._endpoints.is_known
            and (self._drains.is_known or not self._can_drain)
            and self._crash_reporter is not None
            and self._crash_reporter.is_informed
        )

    @property
    def _can_drain(self) -> bool:
        return self._settings.drain_seconds is not None

    def _on_drained(
        self, view: DrainedHalls, before: frozenset[str], source: str
    ) -> None:
        """Send no new work to drained data halls; streams that run there continue.

        They end by themselves, or move when their endpoint leaves.
        """
        drained = self._state.directory.set_drained(view.data_halls)
        for endpoint in drained:
            self._live.drop_backups(endpoint.identity)
            self._state.pool.retire(endpoint.address)
        streams = sum(len(self._live.running_at(e.identity)) for e in drained)
        for data_hall in sorted(view.data_halls ^ before):
            is_drained = data_hall in view.data_halls
            event = HallDrained(data_hall, is_drained, streams, view.revision, source)
            self._state.log.write(event, is_failure=True)
        ingress_metrics.DRAINED_DATA_HALLS.set(len(view.data_halls))
        self._state.announce()

    @property
    def _followers(self) -> tuple[StoreFollower, ...]:
        return self._configuration, self._endpoints, self._drains

    def _on_new_era(self, era: int) -> None:
        for follower in self._followers:
            follower.observe_era(era)

    def _announce_to_peers(self) -> None:
        self._state.announce()

    def _announce_store_access(self) -> None:
        if self._peers is not None and self._peers.is_relied_on():
            self._state.announce()

    def _on_departure(self, departure: Departure) -> None:
        endpoint = departure.endpoint
        streams = self._live.running_at(endpoint.identity)
        self._log.write(
            EndpointLeft(
                endpoint.identity,
                endpoint.service,
                departure.is_gone,
                departure.is_restarted,
                len(streams),
                self._state.directory.revision,
            ),
            is_failure=True,
        )
        if self._peers is not None:
            report = DepartureReport(
                endpoint.identity, departure.is_gone, departure.is_restarted
            )
            self._peers.announce_departure(report)
        self._live.drop_backups(endpoint.identity)
        if departure.is_restarted:
            self._give_up_streams(streams)
            self._state.pool.retire(endpoint.address)
        else:
            self._moves.evacuate(endpoint)
        if departure.is_gone:
            self._state.crash_detector.record_removal(
                endpoint, is_restarted=departure.is_restarted
            )
            self._state.health.forget(endpoint.identity)
            self._state.paces.forget(endpoint.identity)
            self._state.speeds.forget(endpoint.identity)
            self._state.failures.forget(endpoint.identity)
            self._state.limits.forget(endpoint.identity)

    @staticmethod
    def _give_up_streams(streams: Iterable[LiveStream]) -> None:
        """Stop waiting for streams whose endpoint has lost them.

        They continue from their copy or backup, if they have one.
        """
        for stream in streams:
            stream.give_up_endpoint(RunState.ENDED)

    async def _sweep_connections(self) -> None:
        while True:
            await trio.sleep(SWEEP_INTERVAL_SECONDS)
            await self._state.pool.close_idle()
            ingress_metrics.IN_FLIGHT.set(self._state.in_flight)
            self._state.backoffs.drop_expired(trio.current_time())
            ingress_metrics.ENDPOINTS_IN_BACKOFF.set(len(self._state.backoffs))
            self._state.limit_monitor.update_gauges()
            for service, left in self._state.retries_left():
                ingress_metrics.REMAINING_RETRIES.labels(service).set(left)

    async def _watch_signals(
        self,
        stop: trio.Event,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Handle signals until the process ends: a repeated one must not kill it."""
        with open_stop_receiver(signal.SIGHUP) as signals:
            task_status.started()
            async for number in signals:
                if number != signal.SIGHUP:
                    stop.set()
                    continue
                self._log.write(
                    SettingsChanged(False, "settings are read at the next start"),
                    is_failure=True,
                )

    async def leave(self) -> None:
        """Keep serving until no request is in flight or `stops_at` is reached."""
        now = trio.current_time()
        self._state.leaving_since = now
        self._state.stops_at = (
            now + self._settings.stop_grace_seconds - STOP_MARGIN_SECONDS
        )
        self._log.write(ProcessStopping(self._state.in_flight), is_failure=True)
        self._callers.announce_close()
        with trio.move_on_at(self._state.stops_at):
            await trio.sleep_until(now + ROUTING_LAG_SECONDS)
            self._callers.close_idle()
            await trio.sleep_until(now + MIN_LEAVE_SECONDS)
            while self._state.in_flight:
                await trio.sleep(0.02)
