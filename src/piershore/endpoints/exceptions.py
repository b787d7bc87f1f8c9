"""Errors of model engines and plain services."""

from __future__ import annotations

from piershore.errors import PiershoreError


class EngineLostError(PiershoreError):
    """The engine can't be reached, or its stream broke."""

    code = "engine_lost"


class EngineStalledError(EngineLostError):
    """The engine has sent nothing for a while, but its stream was open."""

    code = "engine_stalled"


class EngineRestingError(PiershoreError):
    """The engine has turned a generation away, and wants none for `seconds`."""

    code = "engine_resting"

    def __init__(self, message: str, seconds: float) -> None:
        super().__init__(message)
        self.seconds = seconds


class EngineUnknownGenerationError(PiershoreError):
    """The engine doesn't know the generation (any more)."""

    code = "generation_unknown"


class CallNotSentError(PiershoreError):
    """Nothing of the call reached the service."""

    code = "endpoint_unreachable"


class CallUncertainError(PiershoreError):
    """The call was sent, but it can't be known whether it executed."""

    code = "outcome_unknown"
