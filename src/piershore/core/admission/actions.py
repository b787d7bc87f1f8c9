"""What the admission tells the agent to do."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.admission.candidate import Candidate
from piershore.core.refusal_reason import RefusalReason


@dataclass(frozen=True)
class Start:
    """Start this generation at the engine."""

    candidate: Candidate


@dataclass(frozen=True)
class Refuse:
    """Give this request its final answer now; nothing of it has run."""

    candidate: Candidate
    reason: RefusalReason
    retry_after: float


AdmissionAction = Start | Refuse
