"""What endpoints say of themselves in the heads of their answers."""

from __future__ import annotations

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_notice import EndpointNotice, NO_NOTICE
from piershore.core.fleet.heard_notices import HeardNotices
from piershore.http1.message import ResponseHead
from piershore.ingress.ports import RequestDialect
from piershore.telemetry import ingress_metrics
from piershore.telemetry.event_log import EventLog
from piershore.telemetry.events import EndpointTold


class EndpointNotices:
    """Takes the head of each answer that an endpoint gives to anything."""

    def __init__(
        self, heard: HeardNotices, dialect: RequestDialect, log: EventLog
    ) -> None:
        self._heard = heard
        self._dialect = dialect
        self._log = log

    def take(self, endpoint: Endpoint, head: ResponseHead) -> None:
        """Note what an answer asks."""
        notice = self._dialect.read_notice(head)
        if notice == NO_NOTICE:
            return
        self._count(notice)
        if not self._heard.take(endpoint, notice, trio.current_time()):
            return
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
