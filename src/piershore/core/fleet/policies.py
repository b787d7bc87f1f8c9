"""Which of its ways of deciding a gateway uses."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.fleet.length_estimate import DEFAULT_EXPECTATION
from piershore.core.fleet.placement_policy import DEFAULT_PLACEMENT
from piershore.core.mechanism import Mechanism


@dataclass(frozen=True)
class Policies:
    """Names of policies as settings give them; `disabled` mechanisms are left out.

    All but the defaults are for experiments.
    """

    placement: str = DEFAULT_PLACEMENT
    lengths: str = DEFAULT_EXPECTATION
    disabled: frozenset[Mechanism] = frozenset()
