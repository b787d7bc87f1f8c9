"""Several gateways before a plain service whose endpoints ask for something.

An endpoint says in its answers that it leaves, while the store can't say so, turns
calls away and asks for rest, or names the rate that it takes from all gateways
together. Gateways choose by the product's own code.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from random import Random

from devtools.bench.fleet_settings import HALLS, NETWORK_SECONDS
from devtools.bench.simulated_fleet import gateway_name
from devtools.bench.virtual_time import VirtualTime
from devtools.rate_window import CONTACT_SECONDS, most_in_window, TOLD_SECONDS
from piershore.core.attempts.attempt_outcome import MAX_UNRUN_REFUSALS
from piershore.core.attempts.retry_budget import RetryBudget, RetryLimits
from piershore.core.fleet.cold_starts import ColdStarts
from piershore.core.fleet.data_hall_stalls import DataHallStalls
from piershore.core.fleet.endpoint import Address, Endpoint, EndpointStage
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.fleet.endpoint_health import EndpointHealth
from piershore.core.fleet.endpoint_notice import EndpointNotice, UNRESTRICTED_NOTICE
from piershore.core.fleet.endpoint_rate_limits import EndpointRateLimits
from piershore.core.fleet.fleet_load import FleetLoad, PlainWork
from piershore.core.fleet.notice_handler import NoticeHandler
from piershore.core.fleet.placement import Placement
from piershore.core.fleet.placement_policy import (
    DEFAULT_PLACEMENT,
    PLACEMENT_POLICIES,
)
from piershore.core.fleet.rate_shares import RateShares
from piershore.core.fleet.report_timing import report_interval
from piershore.core.fleet.requested_backoffs import RequestedBackoffs
from piershore.core.fleet.subsetting import EndpointSubsets
from piershore.core.routes.current_configuration import CurrentConfiguration

SERVICE = "desk"
REFUSING_SECONDS = 0.001
"""An endpoint that turns a call away does so at once."""
IN_TRANSIT_SECONDS = 0.5
"""Calls on their way may reach an endpoint so long after it has asked for rest."""


@dataclass(frozen=True)
class CallSettings:
    """One run; times in seconds, as the users' sheets tell of their plain services.

    From `begins` to `ends`, the `asking` first endpoints turn every call away and ask
    for `rest` with it (for nothing if it is None); or, if `leaves`, they serve on and
    say in their answers that they leave; or, if `rate_limit` is given, they serve on
    and name that rate, which gateways share by `limits`. All turn calls away, and ask
    for nothing, that come when `full_at` are under way.
    """

    seconds: float = 24.0
    gateways: int = 6
    endpoints: int = 3
    slots: int = 6
    rate: float = 23.0
    work_seconds: float = 0.045
    begins: float = 6.0
    ends: float = 15.0
    asking: int = 1
    rest: float | None = 3.0
    leaves: bool = False
    rate_limit: float | None = None
    limits: Callable[[RateShares], EndpointRateLimits] = EndpointRateLimits
    full_at: int = 1_000
    retries: RetryLimits = field(
        default_factory=lambda: RetryLimits(ratio=0.2, slack=58, window=10)
    )


@dataclass
class Call:
    """One call of a caller, from the first try on."""

    gateway: _Gateway
    arrived_at: float
    tried: list[str] = field(default_factory=list)
    answered_at: float | None = None
    is_refused: bool = False


@dataclass(frozen=True)
class Arrival:
    """A call that reached an endpoint from a gateway."""

    gateway: str
    endpoint: str
    at: float
    call_arrived_at: float


class _Gateway:
    def __init__(self, number: int, settings: CallSettings, seed: int) -> None:
        self.name = gateway_name(number)
        self.directory = EndpointDirectory()
        self.loads = FleetLoad()
        self.allowance = RetryBudget(settings.retries)
        self.rests = RequestedBackoffs()
        self.health = EndpointHealth()
        subsets = EndpointSubsets(self.name, self.directory)
        subsets.set_peers(map(gateway_name, range(settings.gateways)))
        configuration = CurrentConfiguration()
        shares = RateShares(self.name, subsets, configuration)
        self.limits = settings.limits(shares)
        self.heard = NoticeHandler(self.directory, self.rests, self.limits)
        self.placement = Placement(
            HALLS[number % len(HALLS)],
            self.directory,
            self.loads,
            self.health,
            Random(seed + number),
            PLACEMENT_POLICIES[DEFAULT_PLACEMENT](),
            DataHallStalls(),
            subsets,
            ColdStarts(shares, configuration),
            self.rests,
            self.limits,
        )


class CallRun(VirtualTime):
    """One run; `calls` are all that came, `arrivals` what reached endpoints."""

    def __init__(self, settings: CallSettings, seed: int) -> None:
        super().__init__()
        self.settings = settings
        self._random = Random(seed)
        self._gateways = [
            _Gateway(number, settings, seed) for number in range(settings.gateways)
        ]
        self._endpoints = [_endpoint(n, settings) for n in range(settings.endpoints)]
        self._asking = {e.identity for e in self._endpoints[: settings.asking]}
        self._busy: dict[str, int] = defaultdict(int)
        self.calls: list[Call] = []
        self.arrivals: list[Arrival] = []
        self.asked_at: dict[tuple[str, str], list[float]] = defaultdict(list)
        self.named_at: dict[str, float] = {}
        for gateway in self._gateways:
            for endpoint in self._endpoints:
                gateway.directory.put(endpoint)

    def run(self) -> None:
        """Play until the time is over and all calls have ended."""
        self._at(0.0, self._arrive)
        self._at(0.0, self._report)
        self._play()

    @property
    def refused(self) -> int:
        """Calls that were refused."""
        return sum(call.is_refused for call in self.calls)

    def rest_arrivals(self) -> Iterator[int]:
        """Yield how many calls of a gateway came within each rest that it was asked."""
        for (gateway, endpoint), asked in self.asked_at.items():
            for at in asked:
                until = at + (self.settings.rest or 0.0)
                yield self._count(gateway, endpoint, at + IN_TRANSIT_SECONDS, until)

    def most_at_limited(self) -> int:
        """Return the most calls in a window that gateways which knew the rate sent."""
        return max(
            most_in_window(self._arrivals_of_told(identity), named_at + CONTACT_SECONDS)
            for identity, named_at in self.named_at.items()
        )

    def _arrivals_of_told(self, identity: str) -> Iterator[float]:
        for arrival in self.arrivals:
            told = self.asked_at.get((arrival.gateway, identity))
            is_there = arrival.endpoint == identity and arrival.at < self.settings.ends
            if is_there and told and arrival.at >= told[0] + TOLD_SECONDS:
                yield arrival.at

    def late_arrivals(self, allowed: float) -> Iterator[Arrival]:
        """Yield the calls sent so long after the endpoint had told the gateway."""
        for arrival in self.arrivals:
            asked = self.asked_at.get((arrival.gateway, arrival.endpoint))
            if asked and arrival.call_arrived_at > asked[0] + allowed:
                yield arrival

    def _count(self, gateway: str, endpoint: str, after: float, until: float) -> int:
        return sum(
            a.gateway == gateway and a.endpoint == endpoint and after < a.at < until
            for a in self.arrivals
        )

    @property
    def _is_over(self) -> bool:
        return self._now >= self.settings.seconds

    def _arrive(self) -> None:
        if self._is_over:
            return
        self._at(self._random.expovariate(self.settings.rate), self._arrive)
        call = Call(self._random.choice(self._gateways), self._now)
        self.calls.append(call)
        call.gateway.allowance.record_request(self._now)
        self._try(call)

    def _report(self) -> None:
        if self._is_over:
            return
        self._at(report_interval(len(self._gateways) - 1), self._report)
        for gateway in self._gateways:
            loads = gateway.loads.own_loads()
            told = gateway.limits.report(self._now)
            for peer in self._others(gateway):
                peer.loads.apply_report(gateway.name, loads, self._now)
                list(peer.limits.apply_report(told, self._now))

    def _others(self, gateway: _Gateway) -> Iterable[_Gateway]:
        return (peer for peer in self._gateways if peer is not gateway)

    def _try(self, call: Call) -> None:
        choice = call.gateway.placement.for_call(SERVICE, self._now, call.tried)
        if choice is None:
            call.is_refused = True
            return
        call.tried.append(choice.endpoint.identity)
        call.gateway.limits.claim(choice.endpoint, self._now)
        work = PlainWork()
        call.gateway.loads.add(choice.endpoint.identity, work)
        self._at(NETWORK_SECONDS, self._reach, call, choice.endpoint, work)

    def _reach(self, call: Call, endpoint: Endpoint, work: PlainWork) -> None:
        identity = endpoint.identity
        self.arrivals.append(
            Arrival(call.gateway.name, identity, self._now, call.arrived_at)
        )
        is_asking = identity in self._asking and self._asks()
        if is_asking and not self._serves_on:
            rest = self.settings.rest
            self._at(REFUSING_SECONDS, self._turn_away, call, endpoint, work, rest)
            return
        if self._busy[identity] >= self.settings.full_at:
            self._at(REFUSING_SECONDS, self._turn_away, call, endpoint, work, None)
            return
        self._busy[identity] += 1
        crowd = max(1.0, self._busy[identity] / self.settings.slots)
        seconds = self.settings.work_seconds * crowd
        self._at(seconds, self._answer, call, endpoint, work, is_asking)

    @property
    def _serves_on(self) -> bool:
        return self.settings.leaves or self.settings.rate_limit is not None

    def _asks(self) -> bool:
        return self.settings.begins <= self._now < self.settings.ends

    def _turn_away(
        self, call: Call, endpoint: Endpoint, work: PlainWork, rest: float | None
    ) -> None:
        notice = EndpointNotice(rest_seconds=rest)
        self._at(NETWORK_SECONDS, self._take_refusal, call, endpoint, work, notice)
        if rest:
            self.asked_at[call.gateway.name, endpoint.identity].append(self._now)

    def _take_refusal(
        self, call: Call, endpoint: Endpoint, work: PlainWork, notice: EndpointNotice
    ) -> None:
        gateway = call.gateway
        gateway.loads.remove(endpoint.identity, work)
        gateway.heard.apply(endpoint, notice, self._now)
        gateway.health.record_refusal(endpoint.identity, self._now)
        is_last = len(call.tried) >= MAX_UNRUN_REFUSALS
        if is_last or not gateway.allowance.spend(self._now, len(self._gateways)):
            call.is_refused = True
            return
        self._try(call)

    def _answer(
        self, call: Call, endpoint: Endpoint, work: PlainWork, is_asking: bool
    ) -> None:
        self._busy[endpoint.identity] -= 1
        rate = self.settings.rate_limit
        if is_asking and rate is not None:
            self.named_at.setdefault(endpoint.identity, self._now)
        self._at(NETWORK_SECONDS, self._take_answer, call, endpoint, work, is_asking)

    def _take_answer(
        self, call: Call, endpoint: Endpoint, work: PlainWork, is_asking: bool
    ) -> None:
        gateway = call.gateway
        gateway.loads.remove(endpoint.identity, work)
        call.answered_at = self._now
        gateway.health.record_success(endpoint.identity)
        if is_asking:
            self.asked_at[gateway.name, endpoint.identity].append(self._now)
        notice = self._notice(is_asking=is_asking)
        for departure in gateway.heard.apply(endpoint, notice, self._now).departures:
            self._tell(gateway, departure.endpoint.identity)

    def _notice(self, *, is_asking: bool) -> EndpointNotice:
        if not is_asking:
            return UNRESTRICTED_NOTICE
        return EndpointNotice(
            is_leaving=self.settings.leaves, rate_limit=self.settings.rate_limit
        )

    def _tell(self, gateway: _Gateway, identity: str) -> None:
        for peer in self._others(gateway):
            self._at(NETWORK_SECONDS, peer.directory.mark_leaving, identity)


def _endpoint(number: int, settings: CallSettings) -> Endpoint:
    return Endpoint(
        f"i-{number}",
        SERVICE,
        Address("10.0.0.1", number + 1),
        HALLS[number % len(HALLS)],
        settings.slots,
        EndpointStage.READY,
    )
