"""A gateway's persistent link to one agent, shared by all requests."""

from __future__ import annotations

from itertools import count
from math import inf

import trio

from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import EndpointStatus
from piershore.core.ownership.interval import Interval, Owner, SlotInterval
from piershore.core.routing.endpoint_state import EndpointState, LoadReport
from piershore.core.silence_timer import SilenceTimer
from piershore.gateway.exceptions import LinkLostError
from piershore.telemetry import metrics
from piershore.telemetry.logs import log_state_change
from piershore.wire.config_batches import BatchCursor
from piershore.wire.link_client import LinkClient
from piershore.wire.link_pb2 import (
    AgentFrame,
    Cancel,
    GatewayFrame,
    GatewayHello,
    Heartbeat,
)

SILENCE_TIMEOUT_SECONDS = 3.0
BASE_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0

REQUEST_FRAMES = ("refused", "accepted", "ended", "answered")


class LinkRequest:
    """The frames of one request on a link; close it when the request is done."""

    def __init__(self, link: AgentLink, number: int) -> None:
        self._link = link
        self._number = number
        self._sender, self._receiver = trio.open_memory_channel(inf)

    @property
    def number(self) -> int:
        """Number of the request on its link."""
        return self._number

    @property
    def link(self) -> AgentLink:
        """The link that carries the request."""
        return self._link

    def deliver(self, frame: object) -> None:
        """Queue a frame from the agent for `receive`."""
        self._sender.send_nowait(frame)

    def mark_lost(self) -> None:
        """Mark the link as lost, so that no more frames arrive."""
        self._sender.close()

    async def receive(self) -> object:
        """Return the next frame; raise `LinkLostError` if the link was lost."""
        try:
            return await self._receiver.receive()
        except trio.EndOfChannel:
            raise LinkLostError("the link was lost", was_sent=True) from None

    def send(self, **body: object) -> None:
        """Send a frame of this request if the link is still open."""
        self._link.send(GatewayFrame(**body))

    def close(self, *, cancel: bool, abandon: bool = False) -> None:
        """Remove the request from the link.

        `cancel` tells the agent that the answer is no longer read. With `abandon`, the
        agent doesn't keep the generation for a later resumption.
        """
        if cancel:
            self.send(cancel=Cancel(request=self._number, abandon=abandon))
        self._link.remove_request(self)


class AgentLink:
    """Connect, reconnect and multiplex requests; `state` is the input to routing."""

    def __init__(
        self, gateway: str, endpoint: str, status: EndpointStatus, config: ConfigView
    ) -> None:
        self._gateway = gateway
        self._status = status
        self._config = config
        self._state = EndpointState(endpoint, status.service, status.data_hall)
        self._numbers = count(1)
        self._requests: dict[int, LinkRequest] = {}
        self._client: LinkClient | None = None
        self._incarnation: str | None = None
        self._complete_to = 0
        self._applied_beyond: frozenset[int] = frozenset()
        self._cursor: BatchCursor | None = None
        self._intervals: tuple[SlotInterval, ...] = ()
        self._closed = trio.Event()
        self._opened = trio.Event()
        self._silence = SilenceTimer(SILENCE_TIMEOUT_SECONDS, 0.0)
        self._close_cause = ""
        self._retired = False

    @property
    def state(self) -> EndpointState:
        """State of the endpoint as used by routing."""
        return self._state

    @property
    def status(self) -> EndpointStatus:
        """Status of the endpoint as announced by its agent."""
        return self._status

    @property
    def incarnation(self) -> str | None:
        """Incarnation of the agent at the other end, while the link is open."""
        return self._incarnation if self._state.is_open else None

    @property
    def newest_incarnation(self) -> str:
        """Incarnation of the last hello frame, or else the announced one.

        An agent that started during an outage of the platform is not announced yet.
        """
        return self._incarnation or self._status.incarnation

    @property
    def intervals(self) -> tuple[SlotInterval, ...]:
        """Intervals of mint times whose keys the agent reported that it may run."""
        return self._intervals

    @property
    def complete_to(self) -> int:
        """Configuration revision that the agent last reported as complete."""
        return self._complete_to

    @property
    def applied_beyond(self) -> frozenset[int]:
        """Versions after `complete_to` that the agent has already applied."""
        return self._applied_beyond

    async def run(self) -> None:
        """Keep the link connected until it is cancelled or retired."""
        backoff = BASE_BACKOFF_SECONDS
        try:
            while not self._retired:
                was_open = await self._connect_once()
                backoff = BASE_BACKOFF_SECONDS if was_open else backoff * 2
                backoff = min(backoff, MAX_BACKOFF_SECONDS)
                await trio.sleep(backoff)
        finally:
            self._disconnect()

    def update_status(self, status: EndpointStatus) -> bool:
        """Apply a new announcement; return whether it describes this link's process.

        The link may have connected to that process before the announcement, as a
        restarted agent listens on the same address.
        """
        is_same_address = status.address == self._status.address
        known = {self._status.incarnation, self.incarnation}
        if not is_same_address or status.incarnation not in known:
            return False
        self._status = status
        return True

    def retire(self) -> None:
        """Send no new requests; the link ends when the agent's process does.

        A replaced agent finishes the streams that it still has.
        """
        self._retired = True
        self._state.is_leaving = True
        if not self._state.is_open:
            self._closed.set()

    def open_request(self) -> LinkRequest:
        """Return a new request; raise `LinkLostError` if the link isn't open."""
        if not self._state.is_open:
            raise LinkLostError("the link isn't open", was_sent=False)
        request = LinkRequest(self, next(self._numbers))
        self._requests[request.number] = request
        self._state.unreported += 1
        return request

    def remove_request(self, request: LinkRequest) -> None:
        """Remove a request that is closed."""
        self._requests.pop(request.number, None)

    def send(self, frame: GatewayFrame) -> None:
        """Send a frame if the link is open."""
        if self._state.is_open:
            self._client.send(frame)

    def send_config_changes(self) -> None:
        """Send the agent the configuration changes that it lacks."""
        if not self._state.is_open or not self._config.complete_to:
            return
        for batch in self._cursor.next_batches():
            self.send(GatewayFrame(config=batch))

    async def wait_open(self, seconds: float) -> bool:
        """Wait up to `seconds` until the link is open; return whether it is."""
        with trio.move_on_after(seconds):
            while not self._state.is_open:
                await self._opened.wait()
        return self._state.is_open

    async def _connect_once(self) -> bool:
        self._closed = closed = trio.Event()
        self._close_cause = ""

        def close(cause: str) -> None:
            if closed is self._closed:
                self._close_cause = self._close_cause or cause
            closed.set()

        client = LinkClient(self._status.address, self._frame_received, close)
        self._client = client
        self._silence = SilenceTimer(SILENCE_TIMEOUT_SECONDS, trio.current_time())
        client.start()
        client.send(GatewayFrame(hello=GatewayHello(gateway=self._gateway)))
        await self._wait_until_lost(closed)
        was_open = self._state.is_open
        self._disconnect()
        return was_open

    async def _wait_until_lost(self, closed: trio.Event) -> None:
        """Wait until the link is closed or has been silent for too long."""
        while not closed.is_set():
            with trio.move_on_at(self._silence.next_check):
                await closed.wait()
            if self._silence.is_over(trio.current_time()):
                self._close_cause = self._close_cause or "silent"
                return

    def _disconnect(self) -> None:
        if self._client is None:
            return
        client, self._client = self._client, None
        client.close()
        if self._state.is_open:
            now = trio.current_time()
            log_state_change(
                "link_closed",
                endpoint=self._state.name,
                cause=self._close_cause or "gateway stops using it",
                silent_seconds=round(now - self._silence.received_at, 3),
                seconds_since_pause=round(now - self._silence.resumed_at, 3),
                requests=len(self._requests),
            )
            metrics.LINKS.dec()
        self._state.is_open = False
        self._opened = trio.Event()
        self._intervals = ()
        self._cursor = None
        requests, self._requests = self._requests, {}
        for request in requests.values():
            request.mark_lost()

    def _frame_received(self, frame: AgentFrame) -> None:
        self._silence.record_message(trio.current_time())
        body = frame.WhichOneof("body")
        if body == "tokens":
            for stream in frame.tokens.streams:
                self._deliver(stream.request, stream)
        elif body == "heartbeat":
            self._apply_heartbeat(frame.heartbeat)
        elif body == "hello":
            self._apply_hello(frame)
        elif body in REQUEST_FRAMES:
            message = getattr(frame, body)
            self._deliver(message.request, message)

    def _deliver(self, number: int, message: object) -> None:
        request = self._requests.get(number)
        if request is not None:
            request.deliver(message)

    def _apply_hello(self, frame: AgentFrame) -> None:
        hello = frame.hello
        if self._client is None or hello.endpoint != self._state.name:
            # The address now belongs to another endpoint.
            self._close_cause = "another endpoint answered"
            self._closed.set()
            return
        self._incarnation = hello.incarnation
        self._complete_to = hello.complete_to
        self._cursor = BatchCursor(self._config, hello.complete_to)

    def _mark_open(self) -> None:
        """Accept requests, once a heartbeat has reported the agent's intervals.

        Before the first heartbeat the agent would seem to own no keys at all.
        """
        self._state.is_open = True
        self._opened.set()
        metrics.LINKS.inc()
        log_state_change(
            "link_opened", endpoint=self._state.name, incarnation=self._incarnation
        )
        self.send_config_changes()

    def _apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._state.is_leaving = heartbeat.leaving or self._retired
        self._state.unreported = 0
        self._state.report = LoadReport(
            heartbeat.running, heartbeat.queued, heartbeat.free_share
        )
        self._complete_to = heartbeat.complete_to
        self._applied_beyond = frozenset(heartbeat.applied_beyond)
        owner = Owner(self._state.name, self._incarnation or "")
        self._intervals = tuple(
            SlotInterval(
                interval.layout_start,
                interval.slot_count,
                interval.slot,
                Interval(owner, interval.start, interval.end, interval.released),
            )
            for interval in heartbeat.intervals
        )
        if self._cursor is not None and not self._state.is_open:
            self._mark_open()
