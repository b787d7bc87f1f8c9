"""Status reports of all boxes, gathered on an operator's request."""

from __future__ import annotations

from dataclasses import asdict, dataclass

import trio

from piershore.core.ports import BoxRole
from piershore.gateway.box_directory import BoxDirectory
from piershore.gateway.config_distributor import ConfigDistributor
from piershore.wire.link_pb2 import BoxReport, ReportReply
from piershore.wire.peer_client import fetch_report

MAX_PARALLEL_CALLS = 32


@dataclass(frozen=True)
class Rollout:
    """On how many boxes a version is in force; `silent` boxes did not report."""

    version: int
    boxes: int
    in_force: int
    lagging: tuple[str, ...]
    silent: tuple[str, ...]


@dataclass(frozen=True)
class BoxStatus:
    """Status of one box: as it reported, or with the state `silent`."""

    box: str
    role: str
    data_hall: str
    state: str
    complete_to: int = 0
    service: str = ""
    running: int = 0
    queued: int = 0
    applied_beyond: tuple[int, ...] = ()

    def has_in_force(self, version: int) -> bool:
        """Return whether a version of some object is in force on the box."""
        return version <= self.complete_to or version in self.applied_beyond


class FleetReports:
    """Gathers reports from all gateways; each reports for itself and its agents."""

    def __init__(
        self, gateway: str, distributor: ConfigDistributor, directory: BoxDirectory
    ) -> None:
        self._gateway = gateway
        self._distributor = distributor
        self._directory = directory

    async def statuses(self) -> list[BoxStatus]:
        """Return the status of all boxes, sorted by role and name."""
        reports = await self._gather()
        statuses = [_status(report) for report in reports.values()]
        for box in self._directory.boxes:
            if box.name not in reports:
                status = BoxStatus(box.name, box.role, box.data_hall, "silent")
                statuses.append(status)
        return sorted(statuses, key=lambda status: (status.role, status.box))

    async def rollout(self, version: int) -> Rollout:
        """Return on which boxes `version` is in force."""
        statuses = await self.statuses()
        reporting = [s for s in statuses if s.state != "silent"]
        lagging = tuple(s.box for s in reporting if not s.has_in_force(version))
        silent = tuple(s.box for s in statuses if s.state == "silent")
        in_force = len(reporting) - len(lagging)
        return Rollout(version, len(statuses), in_force, lagging, silent)

    async def _gather(self) -> dict[str, BoxReport]:
        replies = [self._distributor.report()]
        limiter = trio.CapacityLimiter(MAX_PARALLEL_CALLS)

        async def fetch(address: str) -> None:
            reply = await trio.to_thread.run_sync(
                fetch_report, address, limiter=limiter
            )
            if reply is not None:
                replies.append(reply)

        async with trio.open_nursery() as nursery:
            for name, box in self._directory.gateways().items():
                if name != self._gateway:
                    nursery.start_soon(fetch, box.peer_address)
        return _newest(replies)


def _newest(replies: list[ReportReply]) -> dict[str, BoxReport]:
    reports: dict[str, BoxReport] = {}
    for reply in replies:
        for report in reply.boxes:
            known = reports.get(report.box)
            if known is None or known.complete_to < report.complete_to:
                reports[report.box] = report
    return reports


def _status(report: BoxReport) -> BoxStatus:
    is_agent = report.role == BoxRole.AGENT
    return BoxStatus(
        box=report.box,
        role=report.role,
        data_hall=report.data_hall,
        state="leaving" if report.leaving else "live",
        complete_to=report.complete_to,
        service=report.service if is_agent else "",
        running=report.running,
        queued=report.queued,
        applied_beyond=tuple(report.applied_beyond),
    )


def to_dict(value: Rollout | BoxStatus) -> dict[str, object]:
    """Return a report as a dict that can be serialised as JSON."""
    return asdict(value)
