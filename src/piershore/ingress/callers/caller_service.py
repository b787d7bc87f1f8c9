"""Service of callers' connections: routing, API keys and forwarding."""

from __future__ import annotations

from http import HTTPStatus
from math import inf
from resource import getrlimit, RLIM_INFINITY, RLIMIT_NOFILE

import trio

from piershore.core.attempts.answer_time import max_answer_seconds, ObservedTimes
from piershore.core.routes.route import RequestKind, Route
from piershore.core.routes.serving_configuration import (
    AccountRef,
    ServingConfiguration,
)
from piershore.http1.exceptions import BadRequestError
from piershore.http1.message import RequestHead
from piershore.http1.server_connection import ServerConnection
from piershore.ingress.callers.answers import as_refusal, refuse
from piershore.ingress.callers.exchange import Exchange
from piershore.ingress.calls.call_forwarder import CallForwarder
from piershore.ingress.exceptions import RequestRefusedError
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.ports import CallerRequest
from piershore.ingress.streams.stream_forwarder import StreamForwarder
from piershore.telemetry.events import (
    CallerGone,
    ConnectionsExhausted,
    RequestCutOff,
)

NO_CONFIGURATION_RETRY_SECONDS = 0.5
"""Sent as Retry-After by a gateway that has just started: reading the configuration
takes a few milliseconds."""
TASK_START_CHECKPOINTS = 2
"""Iterations of the event loop until a task that was just started has run once."""
MAX_DESCRIPTOR_SHARE = 0.75
"""Share of the process's file descriptors that callers' connections may take. Without a
free descriptor, a gateway that is ready accepts no connection, and reaches no endpoint.
"""


def max_caller_connections() -> float:
    """Return how many connections of callers may be open."""
    limit, _ = getrlimit(RLIMIT_NOFILE)
    return inf if limit == RLIM_INFINITY else MAX_DESCRIPTOR_SHARE * limit


class CallerService:
    """Serves callers' connections."""

    def __init__(
        self, state: GatewayState, calls: CallForwarder, streams: StreamForwarder
    ) -> None:
        self._state = state
        self._calls = calls
        self._streams = streams
        self._idle: dict[trio.CancelScope, None] = {}
        self._open: set[ServerConnection] = set()
        self._max_open = max_caller_connections()
        self._closes_idle = False

    def announce_close(self) -> None:
        """Say in all answers that haven't begun that their connection ends."""
        for connection in self._open:
            if not connection.response_started:
                connection.must_close = True

    def close_idle(self) -> None:
        """Close connections on which no request is in progress, now and from now on.

        Their callers open new ones, which the platform routes to other gateways.
        """
        self._closes_idle = True
        for scope in list(self._idle):
            scope.cancel()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it closes."""
        connection = ServerConnection(stream, lambda: self._state.configuration.limits)
        self._open.add(connection)
        if len(self._open) > self._max_open:
            self._close_longest_idle()
        try:
            await self._serve_requests(connection)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # The caller has closed the connection, so no answer can be sent.
        finally:
            self._open.discard(connection)
            with trio.CancelScope(shield=True):
                await connection.close()

    def _close_longest_idle(self) -> None:
        """Close an idle connection, so that new ones can be accepted."""
        scope = next(iter(self._idle), None)
        self._state.log.write(
            ConnectionsExhausted(len(self._open), len(self._idle)), is_failure=True
        )
        if scope is not None:
            del self._idle[scope]
            scope.cancel()

    async def _serve_requests(self, connection: ServerConnection) -> None:
        arrived = trio.current_time()
        try:
            while True:
                if not await self._wait_for_request(connection):
                    return
                head = await connection.next_request()
                if head is None:
                    return
                arrived = trio.current_time()
                await self._serve_one(connection, head, arrived)
                if not connection.prepare_next_request():
                    break
                if self._closes_idle and not connection.has_unread_bytes():
                    return
        except BadRequestError as error:
            connection.must_close = True
            if connection.response_started:
                return
            await refuse(self._state, connection, None, as_refusal(error), arrived)
        if connection.response_started and connection.must_close:
            await connection.close_gracefully()

    async def _wait_for_request(self, connection: ServerConnection) -> bool:
        """Wait for bytes on an idle connection; return False if it is to be closed.

        A request that has arrived by then is answered: without an answer its caller
        couldn't know whether it has run.
        """
        with trio.CancelScope() as scope:
            self._idle[scope] = None
            try:
                return await connection.wait_for_bytes()
            finally:
                self._idle.pop(scope, None)
        return connection.has_unread_bytes()

    async def _serve_one(
        self, connection: ServerConnection, head: RequestHead, arrived: float
    ) -> None:
        request = self._state.dialect.read_request(head)
        body = await connection.read_body()
        if self._state.is_leaving:
            connection.must_close = True
        self._state.in_flight += 1
        is_answered = False
        try:
            await self._answer(connection, request, body, arrived)
            is_answered = True
        except RequestRefusedError as error:
            await refuse(self._state, connection, request, error, arrived)
            is_answered = True
        finally:
            self._state.in_flight -= 1
            # Only the end of the process cancels a connection during a request.
            if not is_answered and trio.current_effective_deadline() == -inf:
                self._log_cut_off(request, arrived)

    async def _answer(
        self,
        connection: ServerConnection,
        request: CallerRequest,
        body: bytes,
        arrived: float,
    ) -> None:
        configuration = self._state.configuration.value
        if configuration is None:
            raise RequestRefusedError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "no_configuration",
                "no configuration is known yet",
                NO_CONFIGURATION_RETRY_SECONDS,
            )
        route = self._find_route(configuration, request)
        account = self._find_account(configuration, route, request)
        self._check_leaving(route, request)
        time_left = route.timeout
        if request.time_left is not None:
            time_left = min(time_left, request.time_left)
        if time_left <= 0:
            raise RequestRefusedError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "deadline_passed",
                "no time is left",
                0.0,
            )
        refusal: RequestRefusedError | None = None
        is_done = False
        async with trio.open_nursery() as nursery:
            exchange = Exchange(
                connection,
                request,
                body,
                route,
                account,
                configuration,
                arrived,
                arrived + time_left,
                nursery,
            )
            nursery.start_soon(self._cancel_when_closed, exchange)
            await _let_tasks_start()
            try:
                await self._forward(exchange)
                is_done = True
            except RequestRefusedError as error:
                refusal = error
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self._log_caller_gone(exchange)
            nursery.cancel_scope.cancel()
        if refusal is not None:
            raise refusal
        if not is_done:
            raise trio.BrokenResourceError("the caller has closed the connection")

    def _check_leaving(self, route: Route, request: CallerRequest) -> None:
        """Refuse a request that may not complete before this process ends."""
        state = self._state
        if not state.is_leaving:
            return
        max_seconds = self._max_answer_seconds(route, request)
        if max_seconds > state.stops_at - trio.current_time():
            raise RequestRefusedError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "leaving",
                "this gateway stops; another one takes the request",
                state.seconds_until_accepted(),
            )

    def _max_answer_seconds(self, route: Route, request: CallerRequest) -> float:
        """Return how long the answer to a request may take."""
        state = self._state
        service = route.service_for(request.identity) or ""
        spec = state.configuration.service(service)
        engine = spec.engine if spec else None
        endpoints = state.directory.of_service(service)
        observed = ObservedTimes(
            state.first_events.longest(route.name, trio.current_time()),
            state.paces.slowest(endpoint.identity for endpoint in endpoints),
        )
        tokens_per_event = engine.tokens_per_event if engine else 1
        seconds = max_answer_seconds(route, request.size, tokens_per_event, observed)
        return seconds if request.time_left is None else min(seconds, request.time_left)

    def _check_quarantine(self, exchange: Exchange) -> None:
        """Refuse a quarantined request.

        Each attempt that was forwarded crashed one more endpoint, with all that it ran.
        """
        seconds = exchange.seconds_until_release(self._state.quarantine)
        if seconds is not None:
            raise RequestRefusedError(
                HTTPStatus.TOO_MANY_REQUESTS,
                "endpoints_crashed",
                "endpoints have crashed under this request; it is not sent on for now",
                seconds,
            )

    async def _forward(self, exchange: Exchange) -> None:
        self._check_quarantine(exchange)
        if exchange.route.kind is RequestKind.STREAM:
            await self._streams.serve(exchange)
            return
        await self._calls.serve(exchange)

    async def _cancel_when_closed(self, exchange: Exchange) -> None:
        await exchange.connection.wait_closed()
        self._log_caller_gone(exchange)
        exchange.nursery.cancel_scope.cancel()

    def _log_cut_off(self, request: CallerRequest, arrived: float) -> None:
        leaving_since = self._state.leaving_since
        if leaving_since is None:
            return
        seconds = trio.current_time() - arrived
        event = RequestCutOff(request.identity, seconds, arrived - leaving_since)
        self._state.log.write(event, is_failure=True)

    def _log_caller_gone(self, exchange: Exchange) -> None:
        self._state.log.write(CallerGone(exchange.identity, exchange.age))

    @staticmethod
    def _find_route(
        configuration: ServingConfiguration, request: CallerRequest
    ) -> Route:
        route = configuration.find_route(request.head.host, request.head.path)
        if route is None:
            raise RequestRefusedError(
                HTTPStatus.NOT_FOUND, "unknown_route", "no route for host and path"
            )
        return route

    @staticmethod
    def _find_account(
        configuration: ServingConfiguration, route: Route, request: CallerRequest
    ) -> AccountRef | None:
        account = configuration.accounts_by_key.get(request.key or "")
        if account is None and configuration.requires_keys and not route.is_public:
            raise RequestRefusedError(
                HTTPStatus.UNAUTHORIZED, "unknown_key", "the key is not known"
            )
        return account


async def _let_tasks_start() -> None:
    """Let the task that detects a closed connection run before anything is forwarded.

    A caller that gave up while its request was unread has already closed the
    connection, and nothing may run for it.
    """
    for _ in range(TASK_START_CHECKPOINTS):
        await trio.lowlevel.checkpoint()
