"""The state of one endpoint as known by a gateway."""

from __future__ import annotations

from dataclasses import dataclass, field

from piershore.core.routing.backoff import Backoff


@dataclass(frozen=True)
class LoadReport:
    """The load in an agent's last report, as of the time it was sent."""

    running: int = 0
    queued: int = 0
    free_share: float = 1.0


@dataclass
class EndpointState:
    """An endpoint that this gateway has a link to.

    `unreported` counts the requests sent since the last report, which that report can't
    include.
    """

    name: str
    service: str
    data_hall: str
    is_open: bool = False
    is_leaving: bool = False
    report: LoadReport = field(default_factory=LoadReport)
    unreported: int = 0
    rest: Backoff = field(default_factory=Backoff)

    @property
    def takes_work(self) -> bool:
        """Whether new requests may be sent to it, apart from a requested backoff."""
        return self.is_open and not self.is_leaving

    @property
    def expected_work(self) -> float:
        """Estimated work in queued, unreported and running requests."""
        queued = self.report.queued + self.unreported
        pressure = self.report.running * (1.0 - self.report.free_share)
        return queued * 2.0 + pressure + self.report.running * 0.1
