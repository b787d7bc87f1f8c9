"""Placements over the endpoints and loads that a test sets up."""

from __future__ import annotations

from random import Random

from piershore.core.fleet.cold_starts import ColdStarts
from piershore.core.fleet.data_hall_stalls import DataHallStalls
from piershore.core.fleet.endpoint_health import EndpointHealth
from piershore.core.fleet.endpoint_rate_limits import EndpointRateLimits
from piershore.core.fleet.placement import Placement
from piershore.core.fleet.placement_policy import (
    DEFAULT_PLACEMENT,
    PLACEMENT_POLICIES,
)
from piershore.core.fleet.rate_shares import RateShares
from piershore.core.fleet.requested_backoffs import RequestedBackoffs
from piershore.core.fleet.subsetting import EndpointSubsets
from piershore.core.routes.current_configuration import CurrentConfiguration


def placement_over(
    directory,
    loads,
    *,
    health=None,
    stalls=None,
    subsets=None,
    limits=None,
    speeds=None,
    disabled=frozenset(),
):
    """Return the placement of a gateway at ikeja, the only one unless given subsets."""
    subsets = subsets or EndpointSubsets("self", directory)
    configuration = CurrentConfiguration()
    shares = RateShares("self", subsets, configuration)
    return Placement(
        "ikeja",
        directory,
        loads,
        health or EndpointHealth(),
        Random(1),
        PLACEMENT_POLICIES[DEFAULT_PLACEMENT](),
        stalls or DataHallStalls(),
        subsets,
        ColdStarts(shares, configuration),
        RequestedBackoffs(),
        limits or EndpointRateLimits(shares),
        disabled,
        speeds,
    )
