"""What the caller of a generation needs to be served in time."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class CallerAims:
    """Bounds in seconds; None where the route sets none.

    `first_seconds` is until the first part arrives, `longest_pause` between two parts.
    """

    first_seconds: float | None = None
    longest_pause: float | None = None


NO_AIMS = CallerAims()
