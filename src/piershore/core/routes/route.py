"""A route and the services behind it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from piershore.core.hashing import stable_hash


class RequestKind(StrEnum):
    """How often a request may be executed."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True)
class ServiceShare:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """The services for requests of one host and path prefix; times in seconds.

    `longest_pause` between two parts of a stream still keeps it in time.
    """

    name: str
    host: str
    path_start: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout: float
    target_latency: float
    priority: int = 5
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    longest_pause: float | None = None

    def service_for(self, request_id: str) -> str | None:
        """Return the service for a request, always the same for the same id.

        Return None if no service has a positive weight.
        """
        total = sum(share.weight for share in self.shares)
        if total <= 0:
            return None
        point = stable_hash(self.name, request_id) / 2**64 * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return next(s.service for s in reversed(self.shares) if s.weight > 0)
