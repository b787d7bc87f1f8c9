"""Limits on the size and duration of what callers send."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ClientLimits:
    """Limits on a caller's connection; sizes in bytes, times in seconds.

    The defaults apply only until a configuration is known.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0
