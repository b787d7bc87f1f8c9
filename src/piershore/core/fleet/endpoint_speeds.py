"""How slow each endpoint is compared with the others of its service.

The load pattern: endpoints of one service differ lastingly in speed, and each also has
moments in which it is slow. An endpoint's own time per token is a low quantile of its
streams' recent gaps, which neither such moments nor prompts read between the tokens
change. Endpoints live for seconds, so gateways share their estimates at once.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from math import isfinite
from statistics import median
from types import MappingProxyType

from piershore.core.fleet.endpoint_speed import EndpointSpeed
from piershore.core.fleet.gap_spread import GapSpread
from piershore.core.fleet.speed_estimate import OwnTime, SETTLED_SAMPLES, SpeedEstimate

UNEVEN_RATIO = 1.6
"""Ratio between slow and fast endpoints below which a service counts as even: a full
batch alone makes an engine's tokens take 1.4 times as long as a single generation."""
STILL_UNEVEN_RATIO = 1.4
"""The same for a service that was uneven before, or whose endpoints differ by what
several peers report: a gateway may know just the slow ones and the median ones."""
MIN_REPORTING_PEERS = 2
"""Peers report speeds only of services whose endpoints differ; one may be wrong."""
IGNORED_SHARE = 1 / 8
"""Share of the endpoints at either end that alone don't make a service uneven, so that
one wrong estimate doesn't."""
MIN_SLOWNESS, MAX_SLOWNESS = 1 / 3, 3.0
"""Bounds of what an estimate may claim, so that no report shuts an endpoint out."""
MIN_TOKEN_SECONDS, MAX_TOKEN_SECONDS = 1e-5, 1.0
"""Times per token outside of these bounds are errors of measurement or of a report."""
MIN_CONFIDENCE = 0.5
"""Confidence below which an endpoint may still have any speed of its service."""
VIEW_SECONDS = 0.2
"""Age up to which a service's estimates are not merged again."""


@dataclass(frozen=True)
class ServiceSpeeds:
    """The endpoints of a service at one time; `token_seconds` is their median.

    `slowness` is empty if the endpoints don't differ. `typical_slowness` is that of a
    fast, a median and a slow endpoint, and `uncertain` are those endpoints whose
    estimate counts little as yet.
    """

    at: float
    token_seconds: float = 0.0
    slowness: Mapping[str, float] = field(default_factory=dict)
    typical_slowness: tuple[float, ...] = ()
    uncertain: frozenset[str] = frozenset()

    @property
    def are_uneven(self) -> bool:
        """Whether the endpoints differ markedly."""
        return bool(self.slowness)

    def possible_slowness(self, identity: str) -> tuple[float, ...]:
        """Return an endpoint's slowness, or several if it may have any of them."""
        if identity in self.slowness and identity not in self.uncertain:
            return (self.slowness[identity],)
        return self.typical_slowness


class EndpointSpeeds:
    """Estimates by endpoint identity, from this gateway's streams and from peers."""

    def __init__(self) -> None:
        self._estimates: dict[str, SpeedEstimate] = {}
        self._spreads: dict[str, GapSpread] = {}
        self._views: dict[str, ServiceSpeeds] = {}

    def record_gap(
        self,
        identity: str,
        service: str,
        gap: float,
        tokens: int,
        now: float,
        has_pending_prompts: Callable[[], bool],
    ) -> None:
        """Record a pause between two chunks of a stream; the later has `tokens`.

        `has_pending_prompts` returns whether the endpoint is known to read prompts
        beside; it is called only for gaps that an estimate can use.
        """
        token_seconds = gap / max(1, tokens)
        if not is_plausible(token_seconds):
            return
        estimate = self._estimate(identity, service)
        estimate.record(token_seconds, now, has_pending_prompts)
        observed = estimate.observed
        if observed is not None and not observed.is_rough:
            spread = self._spreads.setdefault(service, GapSpread())
            spread.record(gap / observed.token_seconds, tokens)

    def apply_report(
        self, peer: str, identity: str, service: str, reported: OwnTime
    ) -> bool:
        """Replace a peer's estimate; return False if it is implausible."""
        if not is_plausible(reported.token_seconds) or reported.samples < 1:
            return False
        self._estimate(identity, service).apply_report(peer, reported)
        return True

    def of_service(self, service: str, now: float) -> ServiceSpeeds:
        """Return the speeds of a service's endpoints, at most `VIEW_SECONDS` old."""
        view = self._views.get(service)
        if view is None or not 0 <= now - view.at < VIEW_SECONDS:
            view = self._views[service] = self._compare(service, now)
        return view

    def slowness(self, identity: str, service: str) -> float:
        """Return an endpoint's time per token relative to the median of its service.

        1.0 if it is unknown, or if the endpoints of the service don't differ markedly.
        """
        return self.known_slowness(identity, service) or 1.0

    def known_slowness(self, identity: str, service: str) -> float | None:
        """Return the same, or None if it isn't known or the endpoints don't differ."""
        view = self._views.get(service)
        return view.slowness.get(identity) if view else None

    def speed(
        self, identity: str, service: str, longest_pause: float | None, now: float
    ) -> EndpointSpeed:
        """Return what to expect of an endpoint, given the pause that callers accept."""
        view = self.of_service(service, now)
        slowness = view.slowness.get(identity, 1.0)
        token_seconds = slowness * view.token_seconds
        spread = self._spreads.get(service)
        if spread is None or longest_pause is None or not view.are_uneven:
            return EndpointSpeed(slowness, token_seconds)
        shares = tuple(
            spread.share_above(longest_pause / (possible * view.token_seconds))
            for possible in view.possible_slowness(identity)
        )
        return EndpointSpeed(slowness, token_seconds, shares, spread.tokens_per_gap)

    def observed_times(self, service: str) -> Iterator[tuple[str, OwnTime]]:
        """Yield what this gateway observed itself, by endpoint identity."""
        for identity, estimate in self._estimates.items():
            if estimate.service == service and estimate.observed is not None:
                yield identity, estimate.observed

    def reporters(self, identity: str) -> int:
        """Return how many peers report on an endpoint."""
        estimate = self._estimates.get(identity)
        return len(estimate.reporters) if estimate else 0

    def uneven_services(self, now: float) -> list[str]:
        """Return the services whose endpoints differ markedly."""
        services = {estimate.service for estimate in self._estimates.values()}
        return [name for name in services if self.of_service(name, now).are_uneven]

    def forget(self, identity: str) -> None:
        """Drop the estimate of an endpoint that departed."""
        self._estimates.pop(identity, None)

    def _estimate(self, identity: str, service: str) -> SpeedEstimate:
        if identity not in self._estimates:
            self._estimates[identity] = SpeedEstimate(service)
        return self._estimates[identity]

    def _differ(self, service: str, known: Collection[OwnTime]) -> bool:
        """Return whether endpoints differ.

        Only settled estimates show that they do; after that, others count as well.
        """
        view = self._views.get(service)
        if (view is not None and view.are_uneven) or self._peers_report(service):
            exact = (time for time in known if not time.is_rough)
            return _extreme_ratio(exact) >= STILL_UNEVEN_RATIO
        settled = (
            time
            for time in known
            if time.samples >= SETTLED_SAMPLES and not time.is_rough
        )
        return _extreme_ratio(settled) >= UNEVEN_RATIO

    def _peers_report(self, service: str) -> bool:
        peers = {
            peer
            for estimate in self._estimates.values()
            if estimate.service == service
            for peer in estimate.reporters
        }
        return len(peers) >= MIN_REPORTING_PEERS

    def _drop_expired(self, now: float) -> None:
        for identity, estimate in list(self._estimates.items()):
            if estimate.is_expired(now):
                del self._estimates[identity]
            else:
                estimate.drop_expired_reports(now)

    def _compare(self, service: str, now: float) -> ServiceSpeeds:
        self._drop_expired(now)
        merged = (
            (identity, estimate.merged(now))
            for identity, estimate in self._estimates.items()
            if estimate.service == service
        )
        known = {identity: time for identity, time in merged if time is not None}
        if not self._differ(service, known.values()):
            return ServiceSpeeds(now)
        times = sorted(time.token_seconds for time in known.values())
        usual = median(times)
        slowness = {
            identity: _bounded(time.token_seconds / usual) ** time.confidence(now)
            for identity, time in known.items()
        }
        uncertain = frozenset(
            identity
            for identity, time in known.items()
            if time.confidence(now) < MIN_CONFIDENCE
        )
        return ServiceSpeeds(
            now,
            usual,
            MappingProxyType(slowness),
            tuple(_bounded(time / usual) for time in _typical(times)),
            uncertain,
        )


def is_plausible(token_seconds: float) -> bool:
    """Return whether a time per token can be an endpoint's."""
    return (
        isfinite(token_seconds)
        and MIN_TOKEN_SECONDS <= token_seconds <= MAX_TOKEN_SECONDS
    )


def _extreme_ratio(known: Iterable[OwnTime]) -> float:
    """Return by how much endpoints differ, whatever a few of the estimates say."""
    times = sorted(time.token_seconds for time in known)
    if not times:
        return 1.0
    ignored = int(IGNORED_SHARE * len(times))
    return times[-1 - ignored] / times[ignored]


def _typical(times: list[float]) -> Iterator[float]:
    """Yield the middle of each third of the sorted times."""
    for sixth in (1, 3, 5):
        yield times[len(times) * sixth // 6]


def _bounded(slowness: float) -> float:
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
