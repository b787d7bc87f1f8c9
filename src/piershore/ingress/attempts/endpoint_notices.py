"""Notices of endpoints about themselves, in the heads of their answers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from http import HTTPStatus

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_directory import Departure
from piershore.core.fleet.endpoint_notice import (
    EndpointNotice,
    NO_NOTICE,
    UNRESTRICTED_NOTICE,
)
from piershore.core.fleet.endpoint_rate_limits import EndpointRateLimits
from piershore.core.fleet.notice_handler import NoticeHandler
from piershore.core.streams.silence import EndpointReport
from piershore.http1.message import ResponseHead
from piershore.ingress.attempts.rate_limit_monitor import RateLimitMonitor
from piershore.ingress.ports import RequestDialect
from piershore.telemetry import ingress_metrics
from piershore.telemetry.event_log import EventLog
from piershore.telemetry.events import EndpointTold

DeparturesCallback = Callable[[Iterable[Departure]], None]


def _ignore_departures(departures: Iterable[Departure]) -> None:
    """Ignore endpoints that leave: the process has not started yet."""


def _announce_nothing() -> None:
    """Send nothing to peers: the process has not started yet."""


class EndpointNotices:
    """Receives the head of each answer of an endpoint, and applies its notice.

    The answer to a probe states in its body, a report, whether the endpoint leaves.
    """

    def __init__(
        self,
        handler: NoticeHandler,
        limits: EndpointRateLimits,
        monitor: RateLimitMonitor,
        dialect: RequestDialect,
        log: EventLog,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._monitor = monitor
        self._dialect = dialect
        self._log = log
        self._on_departures: DeparturesCallback = _ignore_departures
        self._announce: Callable[[], None] = _announce_nothing

    def start(
        self, on_departures: DeparturesCallback, announce: Callable[[], None]
    ) -> None:
        """Set the callbacks.

        `on_departures` is called when endpoints leave, `announce` when a rate limit
        has begun or ended, so that peers soon receive it.
        """
        self._on_departures = on_departures
        self._announce = announce

    def receive_head(self, endpoint: Endpoint, head: ResponseHead) -> None:
        """Apply the notice in an answer's head, if there is one."""
        notice = self._dialect.read_notice(head)
        if notice == NO_NOTICE:
            return
        is_limited = self._limits.is_limited(endpoint.identity)
        if notice != UNRESTRICTED_NOTICE or is_limited:
            self._apply(endpoint, notice, head.status)

    def receive_report(self, endpoint: Endpoint, report: EndpointReport) -> None:
        """Apply a report, if it is from the incarnation that was probed."""
        born = endpoint.born
        if report.is_from_earlier_incarnation(born) or report.is_from_later_incarnation(
            born
        ):
            return
        if report.is_leaving:
            self._apply(endpoint, EndpointNotice(is_leaving=True), HTTPStatus.OK)

    def _apply(self, endpoint: Endpoint, notice: EndpointNotice, status: int) -> None:
        self._count(notice)
        identity = endpoint.identity
        was_limited = self._limits.is_limited(identity)
        result = self._handler.apply(endpoint, notice, trio.current_time())
        if result.has_new_limit:
            self._monitor.record_change(identity)
        if self._limits.is_limited(identity) != was_limited:
            self._announce()
        if result.is_new:
            event = EndpointTold(
                endpoint.identity,
                endpoint.service,
                status,
                notice.is_leaving,
                notice.rest_seconds,
                notice.advertised_rate,
                notice.unreadable,
            )
            self._log.write(event, is_failure=True)
        self._on_departures(result.departures)

    @staticmethod
    def _count(notice: EndpointNotice) -> None:
        if notice.is_leaving:
            ingress_metrics.NOTICES.labels("leaving").inc()
        if notice.rest_seconds is not None:
            ingress_metrics.NOTICES.labels("rest").inc()
        if notice.advertised_rate is not None:
            ingress_metrics.NOTICES.labels("rate_limit").inc()
        if notice.unreadable:
            ingress_metrics.NOTICES.labels("unreadable").inc()
