"""Errors of model engines and plain services."""

from __future__ import annotations

from piershore.errors import PiershoreError


class EngineLostError(PiershoreError):
    """The engine is unreachable, or its stream broke."""

    code = "engine_lost"


class EngineStalledError(EngineLostError):
    """The engine sent nothing for the stall timeout on an open stream."""

    code = "engine_stalled"


class EngineBackoffError(PiershoreError):
    """The engine refused a generation and asks callers to back off for `seconds`."""

    code = "engine_resting"

    def __init__(self, message: str, seconds: float) -> None:
        super().__init__(message)
        self.seconds = seconds


class EngineUnknownGenerationError(PiershoreError):
    """The engine doesn't know the generation, or no longer does."""

    code = "generation_unknown"


class CallNotSentError(PiershoreError):
    """The call was not sent: no part of it reached the service."""

    code = "endpoint_unreachable"


class CallOutcomeUnknownError(PiershoreError):
    """The call was sent, but it is unknown whether it was executed."""

    code = "outcome_unknown"
