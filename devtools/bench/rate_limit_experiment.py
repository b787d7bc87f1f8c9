"""`python -m devtools.bench.rate_limit_experiment`: ways of sharing an endpoint's rate.

In virtual time; prints, for each load and way, means over the seeds of: the most calls
in 4 s at a limited endpoint as a part of what it takes, how much of the rate is used,
and which part of the callers is refused.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from statistics import mean

from devtools.bench.call_simulation import CallRun, CallSettings
from devtools.rate_window import CONTACT_SECONDS, WINDOW_SECONDS
from piershore.core.fleet.endpoint_rate_limits import (
    EndpointRateLimits,
    fleet_quota,
    RateQuota,
)
from piershore.core.fleet.rate_shares import RateShares, Share

SEEDS = range(2)
OWNERS = 2
LONG = CallSettings(ends=36.0, seconds=40.0)
"""Many windows, so that their phases count for little."""
LOADS = {
    "6 gateways, 1 of 3 limited": replace(LONG, rate_limit=2.4),
    "24, 1 of 3": replace(LONG, gateways=24, rate=60, rate_limit=1.8),
    "68, 1 of 3": replace(LONG, gateways=68, rate=100, rate_limit=1.8),
    "410, 1 of 3": replace(LONG, gateways=410, rate=300, rate_limit=20),
    "6, all of 3 limited": replace(LONG, asking=3, rate_limit=2.4),
    "6, all of 3, just enough": replace(LONG, asking=3, rate_limit=8),
    "24, all of 3, just enough": replace(
        LONG, gateways=24, rate=60, asking=3, rate_limit=22
    ),
    "68, all of 3 limited": replace(
        LONG, gateways=68, rate=100, asking=3, rate_limit=20
    ),
}


class BucketLimits(EndpointRateLimits):
    """Each gateway sends the rate divided by their number, evenly spaced."""

    def _quota(self, rate: float, share: Share) -> RateQuota:
        return RateQuota(1, share.gateways / rate)


class OwnerLimits(EndpointRateLimits):
    """Two gateways, the same ones for all, may send; the others don't."""

    def _quota(self, rate: float, share: Share) -> RateQuota:
        quota = fleet_quota(rate, min(OWNERS, share.gateways))
        owners = min(OWNERS, share.gateways)
        if share.rank >= owners:
            return RateQuota(0, quota.window)
        return RateQuota(Share(share.rank, owners).quota(quota.requests), quota.window)


WAYS: dict[str, Callable[[RateShares], EndpointRateLimits]] = {
    "equal whole parts": EndpointRateLimits,
    "evenly spaced": BucketLimits,
    "two gateways": OwnerLimits,
}


def main() -> None:
    """Play all loads with all ways."""
    for load, settings in LOADS.items():
        for way, limits in WAYS.items():
            print(f"{load:28} {way:20} {_row(replace(settings, limits=limits))}")


def _row(settings: CallSettings) -> str:
    runs = [CallRun(settings, seed) for seed in SEEDS]
    for run in runs:
        run.run()
    allowed = WINDOW_SECONDS * settings.rate_limit
    worst = max(run.most_at_limited() for run in runs) / allowed
    used = mean(map(_used, runs))
    refused = mean(run.refused / len(run.calls) for run in runs)
    return f"worst {worst:.2f}  used {used:.2f}  refused {refused:.3f}"


def _used(run: CallRun) -> float:
    """Return the part of the rates that was sent, once gateways know of them."""
    settings = run.settings
    begin = settings.begins + CONTACT_SECONDS
    sent = sum(
        arrival.endpoint in run.named_at and begin < arrival.at < settings.ends
        for arrival in run.arrivals
    )
    takes = settings.rate_limit * (settings.ends - begin) * settings.asking
    return sent / takes


if __name__ == "__main__":
    main()
