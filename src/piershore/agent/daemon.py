"""The agent process: links, configuration and requests of one endpoint."""

from __future__ import annotations

from random import Random
from uuid import uuid4

import trio
from prometheus_client import start_http_server

from piershore.agent import call_runner, generation_runner  # noqa: F401
from piershore.agent.announcer import announce
from piershore.agent.endpoint_worker import (
    EndpointWorker,
    WorkerContext,
    WORKERS_BY_SERVICE_TYPE,
)
from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import EndpointStatus, ObjectKind, Service
from piershore.core.outcome import Outcome
from piershore.core.ownership.interval import Owner
from piershore.core.refusal_reason import RefusalReason
from piershore.platform.exceptions import PlatformUnavailableError
from piershore.platform.http_platform_store import HttpPlatformStore
from piershore.settings.process_settings import AgentSettings
from piershore.stop_signals import wait_for_stop
from piershore.telemetry import metrics
from piershore.telemetry.logs import log_state_change
from piershore.wire.config_batches import BatchReceiver
from piershore.wire.frame_queue import FrameQueue
from piershore.wire.link_pb2 import (
    AgentFrame,
    AgentHello,
    ConfigBatch,
    GatewayFrame,
    Heartbeat,
    HeldInterval,
    Refused,
)
from piershore.wire.link_server import LinkHandler, LinkServer

HEARTBEAT_INTERVAL_SECONDS = 1.0
INITIAL_LIST_INTERVAL_SECONDS = 1.0
MAX_UPDATE_GAP_SECONDS = 15.0
POLL_INTERVAL_SECONDS = 0.1
REQUEST_BODIES = ("submit", "call", "attach")


class AgentDaemon(LinkHandler):
    """Serves one endpoint until it is asked to leave and has finished its work."""

    def __init__(self, name: str, settings: AgentSettings) -> None:
        self._settings = settings
        self._owner = Owner(name, uuid4().hex)
        self._config = ConfigView()
        self._config.add_listener(lambda change: self._check_drain())
        self._links: dict[int, FrameQueue[AgentFrame]] = {}
        self._store = HttpPlatformStore(settings.platform_url)
        self._server = LinkServer(settings.listen, self)
        self._worker: EndpointWorker | None = None
        self._random = Random()
        self._leaving = trio.Event()
        self._config_received_at = float("-inf")
        self._receivers: dict[int, BatchReceiver] = {}

    async def run(self) -> None:
        """Serve until a signal or an operator's drain, then finish all work."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._leave_on_signal)
            nursery.start_soon(self._follow_configuration)
            self._server.start()
            nursery.start_soon(self._serve, nursery)
            await self._leaving.wait()
            await self._finish_work()
            nursery.cancel_scope.cancel()
        await self.close()

    async def close(self) -> None:
        """Close the worker, which releases its leases, and all connections."""
        if self._worker is not None:
            await self._worker.close()
        self._heartbeat_all()
        for frames in self._links.values():
            frames.close()
        await trio.to_thread.run_sync(self._server.close)
        await self._store.close()
        log_state_change("agent_stopped", endpoint=self._owner.endpoint)

    def leave(self, cause: str) -> None:
        """Refuse new work from now on, and announce that on all links."""
        if self._leaving.is_set():
            return
        self._leaving.set()
        if self._worker is not None:
            self._worker.leave()
        self._heartbeat_all()
        log_state_change("agent_leaving", endpoint=self._owner.endpoint, cause=cause)

    def link_opened(self, link: int, frames: FrameQueue[AgentFrame]) -> None:
        """Send a gateway this agent's identity, configuration revision and load."""
        self._links[link] = frames
        self._receivers[link] = BatchReceiver(self._config)
        metrics.LINKS.set(len(self._links))
        hello = AgentHello(
            endpoint=self._owner.endpoint,
            incarnation=self._owner.incarnation,
            complete_to=self._config.complete_to,
        )
        frames.put(AgentFrame(hello=hello))
        frames.put(self._heartbeat())

    def link_closed(self, link: int) -> None:
        """Forget a closed link and detach its requests."""
        self._links.pop(link, None)
        self._receivers.pop(link, None)
        metrics.LINKS.set(len(self._links))
        if self._worker is not None:
            self._worker.link_closed(link)

    def frame_received(self, link: int, frame: GatewayFrame) -> None:
        """Dispatch a frame from a gateway."""
        body = frame.WhichOneof("body")
        if body == "config":
            self._apply_configuration(link, frame.config)
        elif body == "drain":
            self.leave("operator")
        elif self._worker is not None:
            self._worker.frame_received(link, frame)
        else:
            self._refuse_not_ready(link, frame)

    async def _serve(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._heartbeat_loop)
        service = await self._await_service()
        context = WorkerContext(
            owner=self._owner,
            settings=self._settings,
            service=service,
            store=self._store,
            config=self._config,
            send=self._send,
            request_heartbeat=self._heartbeat_all,
        )
        self._worker = WORKERS_BY_SERVICE_TYPE[service.type].create(context)
        if self._leaving.is_set():
            self._worker.leave()
        nursery.start_soon(self._worker.run)
        if self._settings.metrics_listen is not None:
            host, _, port = self._settings.metrics_listen.rpartition(":")
            start_http_server(int(port), host, metrics.REGISTRY)
        log_state_change(
            "agent_started",
            endpoint=self._owner.endpoint,
            incarnation=self._owner.incarnation,
        )
        status = EndpointStatus(
            service=self._settings.service,
            data_hall=self._settings.data_hall,
            address=self._settings.advertise or self._settings.listen,
            incarnation=self._owner.incarnation,
        )
        await announce(self._store, self._owner.endpoint, status)

    async def _await_service(self) -> Service:
        while True:
            name = self._settings.service
            service = self._config.get(ObjectKind.SERVICE, name)
            if service is not None and not self._is_drained():
                return service
            await trio.sleep(POLL_INTERVAL_SECONDS)

    def _refuse_not_ready(self, link: int, frame: GatewayFrame) -> None:
        body = frame.WhichOneof("body")
        if body not in REQUEST_BODIES:
            return
        is_submission = body == "submit"
        refused = Refused(
            request=getattr(frame, body).request,
            reason=RefusalReason.NOT_READY,
            outcome=Outcome.NOT_RUN if is_submission else Outcome.UNKNOWN,
        )
        self._send(link, AgentFrame(refused=refused))

    async def _follow_configuration(self) -> None:
        # Gateways send configuration changes over their links. The platform is only
        # listed until the worker is created, and when no gateway has sent any
        # configuration for MAX_UPDATE_GAP_SECONDS.
        while True:
            limit = (
                INITIAL_LIST_INTERVAL_SECONDS
                if self._worker is None
                else MAX_UPDATE_GAP_SECONDS
            )
            if trio.current_time() - self._config_received_at > limit:
                await self._list_configuration()
            await trio.sleep(limit * self._random.uniform(0.5, 1.0))

    async def _list_configuration(self) -> None:
        try:
            self._config.apply_snapshot(await self._store.list())
        except PlatformUnavailableError as error:
            metrics.PLATFORM_ERRORS.labels(code=error.code).inc()

    def _is_drained(self) -> bool:
        status = self._config.get(ObjectKind.ENDPOINT, self._owner.endpoint)
        return status is not None and status.drain

    def _check_drain(self) -> None:
        # An agent that starts while drained waits in `_await_service` instead.
        if self._worker is not None and self._is_drained():
            self.leave("operator")

    async def _leave_on_signal(self) -> None:
        await wait_for_stop()
        self.leave("signal")

    async def _finish_work(self) -> None:
        while self._worker is not None and not self._worker.is_idle:
            await trio.sleep(POLL_INTERVAL_SECONDS)

    async def _heartbeat_loop(self) -> None:
        while True:
            self._heartbeat_all()
            await trio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def _heartbeat_all(self) -> None:
        heartbeat = self._heartbeat()
        for frames in self._links.values():
            frames.put(heartbeat)

    def _apply_configuration(self, link: int, batch: ConfigBatch) -> None:
        self._config_received_at = trio.current_time()
        receiver = self._receivers.get(link)
        if receiver is not None:
            receiver.apply(batch)
            metrics.CONFIG_REVISION.set(self._config.complete_to)

    def _heartbeat(self) -> AgentFrame:
        heartbeat = Heartbeat(
            leaving=self._leaving.is_set() or self._worker is None,
            complete_to=self._config.complete_to,
            applied_beyond=self._config.applied_beyond,
        )
        if self._worker is not None:
            load = self._worker.load
            heartbeat.running = load.running
            heartbeat.queued = load.queued
            heartbeat.free_share = load.free_share
            heartbeat.tokens_per_second = load.tokens_per_second
            heartbeat.intervals.extend(self._held_intervals(self._worker))
            metrics.RUNNING.set(load.running)
            metrics.QUEUED.set(load.queued)
        return AgentFrame(heartbeat=heartbeat)

    @staticmethod
    def _held_intervals(worker: EndpointWorker) -> list[HeldInterval]:
        return [
            HeldInterval(
                layout_start=slot_interval.layout_start,
                slot_count=slot_interval.slot_count,
                slot=slot_interval.slot,
                start=slot_interval.interval.start,
                end=slot_interval.interval.end,
                released=slot_interval.interval.released,
            )
            for slot_interval in worker.intervals
        ]

    def _send(self, link: int, frame: AgentFrame) -> None:
        frames = self._links.get(link)
        if frames is not None:
            frames.put(frame)
