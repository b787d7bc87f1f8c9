"""For how long an endpoint wants nothing."""

from __future__ import annotations


class Rest:
    """The latest end of all rests that one endpoint has asked for.

    A shorter one that is asked for later doesn't end it, and neither does a success.
    """

    def __init__(self) -> None:
        self._until = float("-inf")

    def note(self, seconds: float, now: float) -> None:
        """Note that the endpoint wants nothing for some seconds."""
        self._until = max(self._until, now + seconds)

    def seconds_left(self, now: float) -> float:
        """Return when something may be sent, in seconds; 0 if that is now."""
        return max(0.0, self._until - now)
