"""The order to an endpoint to stop a run."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.ingress.ports import StopOutcome


@dataclass(eq=False)
class StopOrder:
    """The order to stop one run, repeated until the run is over.

    `is_told` is set once it is on its way to an endpoint that can be reached, or
    nothing more is tried. `outcome` is that of the last try; None until it is known.
    """

    request: str
    endpoint: Endpoint
    outcome: StopOutcome | None = None
    is_told: trio.Event = field(default_factory=trio.Event)

    @property
    def is_presumed_over(self) -> bool:
        """Whether the run is over, unless an answer that is due says otherwise."""
        if self.outcome is None:
            return self.is_told.is_set()
        return self.outcome.is_over

    def record_sent(self) -> None:
        """Record that the order is on its way."""
        self.outcome = None
        self.is_told.set()
