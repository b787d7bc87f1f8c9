"""What endpoints say of themselves in the heads of their answers."""

from __future__ import annotations

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_notice import EndpointNotice, NO_NOTICE
from piershore.core.remembering import remember
from piershore.http1.message import ResponseHead
from piershore.ingress.ports import RequestDialect
from piershore.telemetry import ingress_metrics
from piershore.telemetry.event_log import EventLog
from piershore.telemetry.events import EndpointTold

MOST_KNOWN = 512
"""Endpoints of which it is remembered what they said last."""


class EndpointNotices:
    """Takes the head of each answer that an endpoint gives to anything."""

    def __init__(self, dialect: RequestDialect, log: EventLog) -> None:
        self._dialect = dialect
        self._log = log
        self._last: dict[str, EndpointNotice] = {}

    def take(self, endpoint: Endpoint, head: ResponseHead) -> None:
        """Note what an answer asks."""
        notice = self._dialect.read_notice(head)
        if notice == NO_NOTICE:
            return
        self._count(notice)
        if self._last.get(endpoint.identity) == notice:
            return
        remember(self._last, endpoint.identity, notice, MOST_KNOWN)
        event = EndpointTold(
            endpoint.identity,
            endpoint.service,
            head.status,
            notice.is_leaving,
            notice.rest_seconds,
        )
        self._log.write(event, is_failure=True)

    @staticmethod
    def _count(notice: EndpointNotice) -> None:
        if notice.is_leaving:
            ingress_metrics.NOTICES.labels("leaving").inc()
        if notice.rest_seconds is not None:
            ingress_metrics.NOTICES.labels("rest").inc()
