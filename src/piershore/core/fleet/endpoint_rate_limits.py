"""Rates that endpoints take from all gateways together.

The load pattern: an endpoint in need names a rate that is far below what it usually
gets. It answers as fast as before and holds little work, so that it looks idle to a
choice by load, and six gateways that know of the rate still send it several times as
much. So the rate is dealt out to the gateways in whole requests, over a window in which
each has one if the rate allows that.

The latest answer of an endpoint counts, whichever gateway got it. Gateways tell each
other what their own answers named, with its age.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from math import inf

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.rate_shares import RateShares, Share
from piershore.core.fleet.sent_requests import SentRequests
from piershore.core.limits.endpoint_rate import CROSSING_SECONDS, LOWEST_RATE

UNLIMITED = inf
"""The rate of an endpoint that names none."""
WINDOWS_SECONDS = (1.0, 2.0, 4.0)
"""Windows over which a rate is dealt out. Each is a whole part of the longest, so that
no span of that length holds more than the rate allows."""
TRANSIT_SECONDS = 0.1
"""Requests may take this much longer or shorter to arrive than others."""
UNCONFIRMED_SECONDS = 10.0
"""A limit that no answer has named for so long is asked about again by one gateway."""
NEXT_ASKER_SECONDS = 1.0
"""The gateway of the next rank asks so much later, unless it hears of an answer."""
TOLD_SECONDS = 10.0
"""How long peers are told of an answer."""
MOST_TOLD = 32
"""Endpoints that one report tells of, so that it fits a packet."""
FORGET_SECONDS = 300.0
"""A limit of which nothing was heard for so long is forgotten."""


@dataclass(frozen=True)
class RateQuota:
    """So many requests in any `window` seconds."""

    requests: int
    window: float


@dataclass(frozen=True)
class NamedRate:
    """The rate that an answer named, and when it came."""

    rate: float
    at: float

    @property
    def is_limit(self) -> bool:
        """Whether the endpoint takes only so much."""
        return self.rate != UNLIMITED


@dataclass(frozen=True)
class RateReport:
    """The rate that an answer named to a peer, and how many seconds ago."""

    rate: float
    age: float


def quota_of(rate: float, gateways: int) -> RateQuota:
    """Return what all gateways together may send to an endpoint.

    The window is the shortest in which each gateway gets a request, if there is one.
    """
    for window in WINDOWS_SECONDS:
        requests = int(rate * window)
        if requests >= gateways:
            return RateQuota(requests, window)
    if not requests:
        return RateQuota(1, 1 / max(rate, LOWEST_RATE))
    return RateQuota(requests, window)


class EndpointRateLimits:
    """The limits by endpoint identity, and what this gateway has sent there."""

    def __init__(self, shares: RateShares) -> None:
        self._shares = shares
        self._latest: dict[str, NamedRate] = {}
        self._own: dict[str, NamedRate] = {}
        self._sent = SentRequests()

    def rate(self, identity: str) -> float:
        """Return the requests a second that an endpoint takes."""
        latest = self._latest.get(identity)
        return latest.rate if latest else UNLIMITED

    def is_limited(self, identity: str) -> bool:
        """Tell whether an endpoint takes only so many requests."""
        return self.rate(identity) != UNLIMITED

    def limited(self) -> Iterator[str]:
        """Yield the identities of the endpoints that take only so many requests."""
        return (identity for identity in self._latest if self.is_limited(identity))

    def record_answer(self, identity: str, rate: float, now: float) -> bool:
        """Take the rate that an answer names; tell whether the limit has changed."""
        latest = self._latest.get(identity)
        if rate == UNLIMITED and not self._may_end(latest, now):
            return False
        named = NamedRate(rate, now)
        self._own[identity] = self._latest[identity] = named
        return latest is None or latest.rate != rate

    def apply_report(self, told: Mapping[str, RateReport], now: float) -> Iterator[str]:
        """Take what a peer's answers named; yield the endpoints whose limit changed."""
        for identity, report in told.items():
            named = NamedRate(report.rate, now - report.age)
            latest = self._latest.get(identity)
            if latest is None and not named.is_limit:
                continue
            if latest is not None and latest.at >= named.at:
                continue
            self._latest[identity] = named
            if latest is None or latest.rate != named.rate:
                yield identity

    def report(self, now: float) -> dict[str, RateReport]:
        """Return what own answers have named lately.

        What peers told is not passed on: it would seem newer each time.
        """
        lately = {i: n for i, n in self._own.items() if now - n.at < TOLD_SECONDS}
        newest = sorted(lately, key=lambda i: lately[i].at, reverse=True)[:MOST_TOLD]
        return {i: RateReport(lately[i].rate, now - lately[i].at) for i in newest}

    def may_send(self, endpoint: Endpoint, now: float) -> bool:
        """Tell whether this gateway may send one more request to an endpoint now."""
        return not self.seconds_until_free(endpoint, now)

    def used_up(self, endpoints: Iterable[Endpoint], now: float) -> Iterator[str]:
        """Yield those of the endpoints that may get nothing from this gateway now."""
        if self._latest:
            yield from (e.identity for e in endpoints if not self.may_send(e, now))

    def claim(self, endpoint: Endpoint, now: float) -> bool:
        """Count a request to an endpoint that is limited, if it may be sent."""
        if not self.is_limited(endpoint.identity):
            return False
        if not self.may_send(endpoint, now):
            return False
        window = self.part(endpoint).window + TRANSIT_SECONDS
        self._sent.record(endpoint.identity, now, window)
        return True

    def seconds_until_free(self, endpoint: Endpoint, now: float) -> float:
        """Return when this gateway may send to an endpoint: 0 now, inf if it has no
        part in its rate.
        """
        latest = self._latest.get(endpoint.identity)
        if latest is None or not latest.is_limit:
            return 0.0
        share = self._shares.of(endpoint)
        if share is None:
            return inf
        quota = self._quota(latest.rate, share)
        if self._may_ask(endpoint.identity, latest, share, quota.window, now):
            return 0.0
        if not quota.requests:
            return inf
        sent_at = self._sent.latest(endpoint.identity, quota.requests)
        if sent_at is None:
            return 0.0
        return max(0.0, sent_at + quota.window + TRANSIT_SECONDS - now)

    def own_rate(self, endpoint: Endpoint) -> float:
        """Return this gateway's mean part of a limit, in requests a second."""
        share = self._shares.of(endpoint)
        gateways = share.gateways if share else len(self._shares)
        return max(self.rate(endpoint.identity), LOWEST_RATE) / gateways

    def part(self, endpoint: Endpoint) -> RateQuota | None:
        """Return this gateway's part of an endpoint's limit, if it has one."""
        if not self.is_limited(endpoint.identity):
            return None
        share = self._shares.of(endpoint)
        if share is None:
            return RateQuota(0, WINDOWS_SECONDS[-1])
        return self._quota(self.rate(endpoint.identity), share)

    def forget(self, identity: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._latest.pop(identity, None)
        self._own.pop(identity, None)
        self._sent.forget(identity)

    def forget_old(self, now: float) -> None:
        """Drop limits of which nothing is heard, and ended ones that are told."""
        for identity, named in list(self._latest.items()):
            kept = FORGET_SECONDS if named.is_limit else TOLD_SECONDS
            if now - named.at >= kept:
                self.forget(identity)

    def _quota(self, rate: float, share: Share) -> RateQuota:
        """Return this gateway's part of a rate."""
        quota = quota_of(rate, share.gateways)
        return RateQuota(share.part(quota.requests), quota.window)

    @staticmethod
    def _may_end(latest: NamedRate | None, now: float) -> bool:
        """Tell whether an answer that names no rate ends a limit."""
        if latest is None:
            return False
        return not latest.is_limit or now - latest.at >= CROSSING_SECONDS

    def _may_ask(
        self,
        identity: str,
        latest: NamedRate,
        share: Share,
        window: float,
        now: float,
    ) -> bool:
        """Tell whether this gateway is to find out whether a limit still holds."""
        unconfirmed = max(UNCONFIRMED_SECONDS, 2 * window)
        asks_at = latest.at + unconfirmed + share.rank * NEXT_ASKER_SECONDS
        sent_at = self._sent.latest(identity, 1)
        return now >= asks_at and (sent_at is None or now >= sent_at + unconfirmed)
