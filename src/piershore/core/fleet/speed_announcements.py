"""Which estimates of endpoints' speeds a gateway sends to which peer, and when."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from piershore.core.fleet.speed_estimate import FULL_SAMPLES, OwnTime

NOTABLE_RATIO = 1.15
"""Change of an endpoint's time per token that is sent to peers at once."""
REPEAT_SECONDS = 0.5
"""Delay after which a first or changed estimate is sent again: a datagram may get
lost."""
REFRESH_SECONDS = 5.0
"""Interval at which an estimate that is still observed is sent again."""


@dataclass(frozen=True)
class _Announcement:
    time: OwnTime
    at: float
    is_repeated: bool


class SpeedAnnouncements:
    """The estimates sent to each peer; a new peer gets all of them."""

    def __init__(self) -> None:
        self._sent: dict[str, dict[str, _Announcement]] = {}

    def keep_only(self, hosts: Iterable[str]) -> None:
        """Drop peers that departed: when they return, they get all estimates again."""
        for host in self._sent.keys() - set(hosts):
            del self._sent[host]

    def forget(self, identities: Iterable[str]) -> None:
        """Drop endpoints that departed."""
        gone = set(identities)
        for sent in self._sent.values():
            for identity in sent.keys() & gone:
                del sent[identity]

    def is_due(self, host: str, identity: str, time: OwnTime, now: float) -> bool:
        """Return whether an estimate is to be sent to a peer now."""
        if not time.is_fresh(now):
            return False
        last = self._sent.get(host, {}).get(identity)
        if last is None or is_notable(last.time, time):
            return True
        age = now - last.at
        if not last.is_repeated:
            return age >= REPEAT_SECONDS
        return age >= REFRESH_SECONDS and time.updated_at > last.at

    def record(self, host: str, identity: str, time: OwnTime, now: float) -> None:
        """Record that an estimate was sent to a peer."""
        sent = self._sent.setdefault(host, {})
        before = sent.get(identity)
        is_repeated = before is not None and not is_notable(before.time, time)
        sent[identity] = _Announcement(time, now, is_repeated)


def is_notable(before: OwnTime, after: OwnTime) -> bool:
    """Return whether an estimate has changed so that peers decide otherwise."""
    ratio = after.token_seconds / before.token_seconds
    if not 1 / NOTABLE_RATIO <= ratio <= NOTABLE_RATIO:
        return True
    return before.samples < FULL_SAMPLES <= after.samples
