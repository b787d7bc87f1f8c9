"""What is known about a request's execution when its caller gets the answer."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Whether the request was executed, as far as this system can know."""

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"
