"""The gateway process."""

from __future__ import annotations

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from quart import Response
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException

from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.recent_changes import RecentChanges
from piershore.core.configuration.stored_object import StoredObject
from piershore.core.limits.account_limiter import AccountLimiter
from piershore.core.outcome import Outcome
from piershore.core.refusal_reason import RefusalReason
from piershore.gateway.account_directory import AccountDirectory
from piershore.gateway.admin_api import AdminApi
from piershore.gateway.agent_links import AgentLinks
from piershore.gateway.box_directory import BoxDirectory
from piershore.gateway.call_service import CallService
from piershore.gateway.callers_api import (
    CallersApi,
    CallersApiDependencies,
    count_refusal,
)
from piershore.gateway.config_distributor import ConfigDistributor
from piershore.gateway.config_editor import ConfigEditor
from piershore.gateway.config_source import ConfigSource
from piershore.gateway.edit_offers import EditOffers
from piershore.gateway.edit_restorer import EditRestorer
from piershore.gateway.exceptions import RequestRefusedError
from piershore.gateway.fleet_reports import FleetReports
from piershore.gateway.generation_service import GenerationService
from piershore.gateway.in_flight import InFlightRequests
from piershore.gateway.problem import problem_response
from piershore.gateway.request_reader import RequestReader
from piershore.gateway.retry_quota import RetryQuota
from piershore.platform.http_platform_store import HttpPlatformStore
from piershore.settings.process_settings import GatewaySettings
from piershore.stop_signals import wait_for_stop
from piershore.telemetry import metrics
from piershore.telemetry.logs import log_state_change
from piershore.wire.peer_server import PeerServer

MAX_STREAM_SECONDS = 3_600.0
KEEP_ALIVE_SECONDS = 30.0
MAX_HEADER_BYTES = 64 * 1_024

HTTP_REASONS = {
    404: RefusalReason.NOT_FOUND,
    405: RefusalReason.METHOD_NOT_ALLOWED,
    413: RefusalReason.BODY_TOO_LARGE,
    431: RefusalReason.HEADER_TOO_LARGE,
}


class GatewayDaemon:
    """Serves callers and operators until the process is asked to stop."""

    def __init__(self, name: str, settings: GatewaySettings) -> None:
        self._name = name
        self._settings = settings
        recent = RecentChanges()
        self._view = ConfigView(recent)
        self._directory = BoxDirectory()
        self._store = HttpPlatformStore(settings.platform_url)
        self._accounts = AccountDirectory(self._view)
        self._limiter = AccountLimiter()
        data_hall = settings.data_hall
        self._links = AgentLinks(
            name, data_hall, settings.endpoint_choice, settings.aperture, self._view
        )
        self._source = ConfigSource(
            name,
            data_hall,
            self._store,
            self._view,
            self._directory,
            settings.box_list_period,
            settings.peers,
        )
        self._distributor = ConfigDistributor(
            name, data_hall, self._view, self._directory, self._links
        )
        self._offers = EditOffers(name, self._directory)
        self._restorer = EditRestorer(
            name, self._store, self._view, recent, self._offers.offer
        )
        self._peers = PeerServer(settings.peer_listen, self._distributor)
        self._directory.add_listener(self._update_limiter_share)
        self._stopping = trio.Event()
        self._leaving = False
        self._reader = RequestReader(settings.caps, self._accounts)
        self._app = self._build_app()
        self._in_flight = InFlightRequests(self._app)

    @property
    def app(self) -> QuartTrio:
        """The HTTP application."""
        return self._app

    async def run(self) -> None:
        """Serve until SIGTERM, then finish all requests in progress."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._serve)
            self.start(nursery)
            await wait_for_stop()
            await self._leave()
            nursery.cancel_scope.cancel()
        await self.close()

    def start(self, nursery: trio.Nursery) -> None:
        """Start the agent links, the configuration's tasks and the server for peers."""
        self._peers.start()
        nursery.start_soon(self._source.run)
        nursery.start_soon(self._links.run)
        nursery.start_soon(self._distributor.run)
        nursery.start_soon(self._offers.run)
        nursery.start_soon(self._restorer.run)
        log_state_change("gateway_started", gateway=self._name)

    async def close(self) -> None:
        """Close the server for peers and the connection to the platform."""
        await trio.to_thread.run_sync(self._peers.close)
        await self._store.close()
        log_state_change("gateway_stopped", gateway=self._name)

    async def _serve(self) -> None:
        await serve(
            self._in_flight,
            self._server_config(),
            shutdown_trigger=self._stopping.wait,
            mode="asgi",
        )

    async def _leave(self) -> None:
        # The load balancer has to observe that this gateway isn't ready before the
        # gateway stops accepting connections.
        self._leaving = True
        self._distributor.mark_leaving()
        log_state_change("gateway_leaving", gateway=self._name)
        await trio.sleep(self._settings.leave_notice)
        self._stopping.set()
        await self._in_flight.wait_until_idle()

    def _server_config(self) -> Config:
        config = Config()
        config.bind = [self._settings.listen]
        config.graceful_timeout = MAX_STREAM_SECONDS
        config.shutdown_timeout = MAX_STREAM_SECONDS
        config.keep_alive_timeout = KEEP_ALIVE_SECONDS
        config.h11_max_incomplete_size = MAX_HEADER_BYTES
        config.accesslog = None
        config.errorlog = "-"
        config.loglevel = "ERROR"
        config.include_server_header = False
        return config

    def _build_app(self) -> QuartTrio:
        app = QuartTrio(__name__)
        app.config["MAX_CONTENT_LENGTH"] = None
        app.config["RESPONSE_TIMEOUT"] = None
        reader = self._reader
        retries = RetryQuota(self._settings.retry_share, self._count_gateways)
        timeout = self._settings.request_timeout
        callers = CallersApi(
            CallersApiDependencies(
                view=self._view,
                reader=reader,
                limiter=self._limiter,
                generations=GenerationService(self._links, retries, timeout),
                calls=CallService(self._links, retries),
            )
        )
        admin = AdminApi(
            self._settings.operator_key_hashes,
            self._view,
            reader,
            self._build_editor(),
            FleetReports(self._name, self._distributor, self._directory),
        )
        app.register_blueprint(callers.blueprint())
        app.register_blueprint(admin.blueprint())
        app.get("/healthz")(self._health)
        app.get("/readyz")(self._readiness)
        app.get("/metrics")(self._metrics)

        async def check_headers() -> None:
            reader.check_headers()

        async def announce_close(response: Response) -> Response:
            """Tell callers that keep connections to use other ones."""
            if self._leaving:
                response.headers["Connection"] = "close"
            return response

        app.before_request(check_headers)
        app.after_request(announce_close)
        app.register_error_handler(RequestRefusedError, self._handle_refusal)
        app.register_error_handler(HTTPException, self._handle_http_error)
        app.register_error_handler(Exception, self._handle_exception)
        return app

    async def _health(self) -> Response:
        return Response("ok\n", content_type="text/plain")

    async def _readiness(self) -> Response:
        ready = self._view.complete_to > 0 and not self._leaving
        text = "ready\n" if ready else "not ready\n"
        return Response(text, status=200 if ready else 503, content_type="text/plain")

    async def _metrics(self) -> Response:
        body = generate_latest(metrics.REGISTRY)
        return Response(body, content_type=CONTENT_TYPE_LATEST)

    async def _handle_refusal(self, error: RequestRefusedError) -> Response:
        count_refusal(error)
        response = problem_response(error)
        if not await self._reader.discard():
            response.headers["Connection"] = "close"
        return response

    async def _handle_http_error(self, error: HTTPException) -> Response:
        reason = HTTP_REASONS.get(error.code, RefusalReason.MALFORMED_BODY)
        message = error.description or error.name
        return await self._handle_refusal(RequestRefusedError(reason, message))

    async def _handle_exception(self, error: Exception) -> Response:
        log_state_change("request_failed", error=repr(error))
        message = "the gateway failed on this request"
        outcome = Outcome.UNKNOWN
        return await self._handle_refusal(
            RequestRefusedError(RefusalReason.INTERNAL_ERROR, message, outcome)
        )

    def _build_editor(self) -> ConfigEditor:
        restorer = self._restorer
        return ConfigEditor(
            self._store,
            self._view,
            self._on_accepted,
            lambda: restorer.seconds_until_settled,
        )

    def _on_accepted(self, change: StoredObject) -> None:
        self._restorer.record_accepted(change)
        self._offers.offer(change)

    def _update_limiter_share(self) -> None:
        self._limiter.set_share(1 / self._count_gateways())

    def _count_gateways(self) -> int:
        """Return the number of live gateways, at least 1.

        This gateway's own entry may not be in the list yet.
        """
        return max(1, len(self._directory.gateways()))
