"""Selection of the policies that a gateway uses."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.fleet.length_estimate import DEFAULT_EXPECTATION
from piershore.core.fleet.placement_policy import DEFAULT_PLACEMENT
from piershore.core.mechanism import Mechanism


@dataclass(frozen=True)
class Policies:
    """Names of the configured policies; `disabled` mechanisms are not used.

    Values other than the defaults are for experiments.
    """

    placement: str = DEFAULT_PLACEMENT
    lengths: str = DEFAULT_EXPECTATION
    disabled: frozenset[Mechanism] = frozenset()
