"""What is known of a request's execution when the caller gets its answer."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Whether the request was executed, as far as this system can know."""

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"
