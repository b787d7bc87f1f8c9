"""Endpoints that have turned this gateway away and asked it for rest."""

from __future__ import annotations

from collections.abc import Iterable

from piershore.core.fleet.endpoint import Endpoint


class AskedRests:
    """Ends of rests by endpoint identity.

    The load pattern: an endpoint that turns all work away within some ms seems the
    least loaded, so that all new work goes there first, and each try takes a retry. Of
    three endpoints with 23 calls a second one did so for 9 s: 47 to 53 calls were
    refused, and none since it is left out as long as it asks (virtual time, 6 gateways,
    4 seeds).

    A rest is asked of one gateway and holds for it alone. A shorter one that is asked
    later doesn't end it, and neither does a success.
    """

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._until)

    def note(self, identity: str, seconds: float, now: float) -> None:
        """Note that an endpoint wants nothing for some seconds."""
        self.forget_ended(now)
        self._until[identity] = max(now + seconds, self._until.get(identity, now))

    def is_resting(self, identity: str, now: float) -> bool:
        """Tell whether an endpoint is to get nothing now."""
        return now < self._until.get(identity, now)

    def seconds_left(self, endpoints: Iterable[Endpoint], now: float) -> float | None:
        """Return when the first of the endpoints has rested, if all of them rest."""
        left = [self._until.get(e.identity, now) - now for e in endpoints]
        return min(left) if left and min(left) > 0 else None

    def forget_ended(self, now: float) -> None:
        """Drop the rests that are over."""
        for identity in [i for i, until in self._until.items() if until <= now]:
            del self._until[identity]
