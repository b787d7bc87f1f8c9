"""State that the components of one gateway share."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

import trio

from piershore.core.attempts.leaving import IMMEDIATE_RETRY_SECONDS
from piershore.core.attempts.retry_budget import RetryBudget, RetryLimits
from piershore.core.fleet.cold_starts import ColdStarts
from piershore.core.fleet.data_hall_stalls import DataHallStalls
from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_health import EndpointHealth
from piershore.core.fleet.endpoint_paces import EndpointPaces
from piershore.core.fleet.endpoint_rate_limits import EndpointRateLimits
from piershore.core.fleet.endpoint_speeds import EndpointSpeeds
from piershore.core.fleet.fleet_load import FleetLoad
from piershore.core.fleet.length_estimate import LENGTH_EXPECTATIONS
from piershore.core.fleet.notice_handler import NoticeHandler
from piershore.core.fleet.output_lengths import OutputLengths
from piershore.core.fleet.placement import Placement
from piershore.core.fleet.placement_policy import PLACEMENT_POLICIES
from piershore.core.fleet.policies import Policies
from piershore.core.fleet.rate_shares import RateShares
from piershore.core.fleet.requested_backoffs import RequestedBackoffs
from piershore.core.fleet.shared_failures import SharedFailures
from piershore.core.fleet.subsetting import EndpointSubsets
from piershore.core.limits.retry_schedule import RetrySchedule
from piershore.core.mechanism import Mechanism
from piershore.core.quarantine.endpoint_runs import EndpointRuns
from piershore.core.quarantine.request_quarantine import RequestQuarantine
from piershore.core.routes.current_configuration import CurrentConfiguration
from piershore.core.streams.first_event_times import FirstEventTimes
from piershore.http1.connection_pool import ConnectionPool
from piershore.ingress.attempts.crash_detector import CrashDetector
from piershore.ingress.attempts.endpoint_notices import EndpointNotices
from piershore.ingress.attempts.rate_limit_monitor import RateLimitMonitor
from piershore.ingress.ports import RequestDialect
from piershore.telemetry.event_log import EventLog


def _announce_nothing() -> None:
    """Announce nothing: there are no peers yet."""


def _announce_no_load(endpoint: Endpoint) -> None:
    """Announce no new work: there are no peers yet."""


def _immediate_retry_seconds() -> float:
    """Return the delay of retries as long as no peers are known."""
    return IMMEDIATE_RETRY_SECONDS


@dataclass
class GatewayState:
    """Estimates, decisions and connections of one gateway.

    `policies` are the algorithms in use; `gateway_count` is the estimated number of
    live gateways, this one included; `host` is this gateway's address among its peers.

    `announce` soon reports the configuration to all peers, `announce_failure` a failed
    attempt, and `announce_load` new work at an endpoint to the peers that share it.
    `seconds_until_accepted` returns in how many seconds another gateway accepts a
    request that this one refuses because it leaves. `leaving_since` is when the process
    was told to stop, `stops_at` when it ends at the latest.
    """

    data_hall: str
    dialect: RequestDialect
    retry_limits: RetryLimits
    log: EventLog
    random: Random
    host: str = ""
    policies: Policies = Policies()
    configuration: CurrentConfiguration = field(default_factory=CurrentConfiguration)
    directory: EndpointDirectory = field(default_factory=EndpointDirectory)
    health: EndpointHealth = field(default_factory=EndpointHealth)
    backoffs: RequestedBackoffs = field(default_factory=RequestedBackoffs)
    paces: EndpointPaces = field(default_factory=EndpointPaces)
    speeds: EndpointSpeeds = field(default_factory=EndpointSpeeds)
    failures: SharedFailures = field(default_factory=SharedFailures)
    stalls: DataHallStalls = field(default_factory=DataHallStalls)
    fleet_load: FleetLoad = field(default_factory=FleetLoad)
    lengths: OutputLengths = field(default_factory=OutputLengths)
    first_events: FirstEventTimes = field(default_factory=FirstEventTimes)
    runs: EndpointRuns = field(default_factory=EndpointRuns)
    quarantine: RequestQuarantine = field(default_factory=RequestQuarantine)
    pool: ConnectionPool = field(default_factory=ConnectionPool)
    leaving_since: float | None = None
    stops_at: float = float("inf")
    gateway_count: int = 1
    in_flight: int = 0
    announce: Callable[[], None] = _announce_nothing
    announce_failure: Callable[[], None] = _announce_nothing
    announce_load: Callable[[Endpoint], None] = _announce_no_load
    seconds_until_accepted: Callable[[], float] = _immediate_retry_seconds
    _retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)
    _retry_schedules: dict[str, RetrySchedule] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.subsets = EndpointSubsets(self.host, self.directory)
        self.quarantine.set_rank(self.subsets.rank)
        self.expectation = LENGTH_EXPECTATIONS[self.policies.lengths]()
        self.crash_detector = CrashDetector(
            self.runs, self.quarantine, self.directory, self.pool, self.log
        )
        self.rate_shares = RateShares(self.host, self.subsets, self.configuration)
        shares = self.rate_shares
        self.limits = EndpointRateLimits(shares)
        notice_handler = NoticeHandler(self.directory, self.backoffs, self.limits)
        self.limit_monitor = RateLimitMonitor(self.limits, self.directory, self.log)
        self.notices = EndpointNotices(
            notice_handler, self.limits, self.limit_monitor, self.dialect, self.log
        )
        self.pool.set_head_callback(self.notices.receive_head)
        self.cold_starts = ColdStarts(shares, self.configuration)
        self.placement = Placement(
            self.data_hall,
            self.directory,
            self.fleet_load,
            self.health,
            self.random,
            PLACEMENT_POLICIES[self.policies.placement](),
            self.stalls,
            self.subsets,
            self.cold_starts,
            self.backoffs,
            self.limits,
            self.policies.disabled,
            self.speeds,
        )

    def is_enabled(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is enabled."""
        return mechanism not in self.policies.disabled

    @property
    def is_leaving(self) -> bool:
        """Whether the process was told to stop."""
        return self.leaving_since is not None

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self._retry_budgets:
            self._retry_budgets[service] = RetryBudget(self.retry_limits)
        return self._retry_budgets[service]

    def retry_schedule(self, service: str) -> RetrySchedule:
        """Return the schedule by which refused callers of a service retry."""
        return self._retry_schedules.setdefault(service, RetrySchedule())

    def retries_left(self) -> Iterator[tuple[str, float]]:
        """Yield the remaining retry budget of each service that was called."""
        now = trio.current_time()
        for service, budget in self._retry_budgets.items():
            yield service, budget.remaining(now, self.gateway_count)

    def record_success(self, identity: str) -> None:
        """Record an attempt that an endpoint answered successfully."""
        self.health.record_success(identity)
        self.failures.record(identity, trio.current_time(), failed=False)

    def record_request(self, service: str) -> None:
        """Record that a caller's request for a service has come."""
        now = trio.current_time()
        self.retry_budget(service).record_request(now)
        self.limits.demand.record(service, now)

    def seconds_until_any_available(self, service: str) -> float | None:
        """Return the seconds until any endpoint accepts a request that found none.

        None means that one accepts it now, or that the service has no endpoints. Else
        the request shows that this gateway's quotas are used up.
        """
        now = trio.current_time()
        seconds = self.placement.seconds_until_any_available(service, now)
        if seconds is not None:
            self.limits.record_shortage(self.directory.of_service(service), now)
        return seconds

    def spend_retry(self, service: str) -> bool:
        """Spend a retry of the budget; return False if none is left."""
        if not self.is_enabled(Mechanism.SECOND_RUNS):
            return False
        return self.retry_budget(service).spend(trio.current_time(), self.gateway_count)
