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
    nothing more is tried; `is_settled` once nothing more is tried. `outcome` is that of
    the last try; None until it is known.
    """

    request: str
    endpoint: Endpoint
    outcome: StopOutcome | None = None
    is_told: trio.Event = field(default_factory=trio.Event)
    is_settled: bool = False
    _is_pending: bool = field(default=False, init=False)
    _is_answer_lost: bool = field(default=False, init=False)

    @property
    def is_presumed_over(self) -> bool:
        """Whether the run is over, unless an answer that is due says otherwise."""
        if self.outcome is None:
            return self.is_told.is_set()
        return self.outcome.is_over

    @property
    def may_have_ended_run(self) -> bool:
        """Whether the run may have ended early: by this order, or with its endpoint."""
        if self._is_pending or self._is_answer_lost:
            return True
        return self.outcome in (StopOutcome.STOPPED, StopOutcome.GONE)

    def begin_sending(self) -> None:
        """Record that the order may reach the endpoint from now on.

        The endpoint may close the stream before the task that sends the order runs
        again, so this is recorded before the first byte is sent.
        """
        self.outcome = None
        self._is_pending = True

    def record_sent(self) -> None:
        """Record that the order is on its way."""
        self.is_told.set()

    def record_outcome(self, outcome: StopOutcome) -> None:
        """Record what came of a try, whether or not the order was sent in it."""
        was_sent, self._is_pending = self._is_pending, False
        if was_sent and outcome is StopOutcome.UNANSWERED:
            self._is_answer_lost = True
        self.outcome = outcome

    def settle(self) -> None:
        """Record that nothing more is tried."""
        self.is_settled = True
        self.is_told.set()
