"""Which estimates of endpoints' speeds a gateway sends to which peer, and when."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from piershore.core.fleet.speed_estimate import FULL_SAMPLES, OwnTime

NOTABLE_RATIO = 1.15
"""Change of an endpoint's time per token that peers are told of at once."""
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
    """What each peer was told; a new peer was told nothing, and gets everything."""

    def __init__(self) -> None:
        self._told: dict[str, dict[str, _Announcement]] = {}

    def keep_only(self, hosts: Iterable[str]) -> None:
        """Forget what was told to peers that left: they may return as new ones."""
        for host in self._told.keys() - set(hosts):
            del self._told[host]

    def forget(self, identities: Iterable[str]) -> None:
        """Forget what was told of endpoints that departed."""
        gone = set(identities)
        for told in self._told.values():
            for identity in told.keys() & gone:
                del told[identity]

    def is_due(self, host: str, identity: str, time: OwnTime, now: float) -> bool:
        """Return whether a peer must be told of an estimate now."""
        if not time.is_fresh(now):
            return False
        told = self._told.get(host, {}).get(identity)
        if told is None or is_notable(told.time, time):
            return True
        age = now - told.at
        if not told.is_repeated:
            return age >= REPEAT_SECONDS
        return age >= REFRESH_SECONDS and time.updated_at > told.at

    def record(self, host: str, identity: str, time: OwnTime, now: float) -> None:
        """Record that a peer was told of an estimate."""
        told = self._told.setdefault(host, {})
        before = told.get(identity)
        is_repeated = before is not None and not is_notable(before.time, time)
        told[identity] = _Announcement(time, now, is_repeated)


def is_notable(before: OwnTime, after: OwnTime) -> bool:
    """Return whether an estimate has changed so that peers decide otherwise."""
    ratio = after.token_seconds / before.token_seconds
    if not 1 / NOTABLE_RATIO <= ratio <= NOTABLE_RATIO:
        return True
    return before.samples < FULL_SAMPLES <= after.samples
