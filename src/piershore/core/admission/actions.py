"""Actions that the admission requests from the agent."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.admission.candidate import Candidate
from piershore.core.refusal_reason import RefusalReason


@dataclass(frozen=True)
class Start:
    """Start this generation on the engine."""

    candidate: Candidate


@dataclass(frozen=True)
class Refuse:
    """Refuse this request, of which nothing has run; the answer is final.

    `retry_after` is the number of seconds after which the caller may retry.
    """

    candidate: Candidate
    reason: RefusalReason
    retry_after: float


AdmissionAction = Start | Refuse
