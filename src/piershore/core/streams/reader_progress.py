"""Whether a stream's caller reads more slowly than its endpoint sends.

While a caller doesn't read, nothing more is read from the endpoint, which may cut off
an answer that remains unread. Neither that nor the pauses are the endpoint's doing.
"""

from __future__ import annotations

MIN_HOLD_UP_SECONDS = 0.02
"""Sending to a caller that reads takes less: the data fit into the send buffer."""
CAUGHT_UP_SECONDS = 0.02
"""A wait for the endpoint after which everything that it sent before has been read:
longer than a round trip within a region, shorter than the pace of most engines."""
MIN_UNREAD_SECONDS = 1.0
"""Endpoints cut off answers that remain unread for some seconds."""
MAX_BREAK_DELAY_SECONDS = 2.0
"""A break that comes later after a hold-up has another cause."""


class ReaderProgress:
    """How long the caller has held up the reading from the endpoint.

    The times of pauses add up until the gateway has caught up with the endpoint.
    """

    def __init__(self) -> None:
        self._held_up_seconds = 0.0
        self._held_up_until = float("-inf")
        self._is_gap_held_up = False

    @property
    def has_held_up(self) -> bool:
        """Whether the gateway hasn't caught up yet since the caller's last pause."""
        return self._held_up_seconds > 0

    @property
    def is_gap_held_up(self) -> bool:
        """Whether the caller held up the last chunk that was read."""
        return self._is_gap_held_up

    def record_send(self, seconds: float, now: float) -> None:
        """Record how long sending to the caller took."""
        if seconds >= MIN_HOLD_UP_SECONDS:
            self._held_up_seconds += seconds
            self._held_up_until = now

    def record_wait(self, seconds: float) -> None:
        """Record how long the endpoint's next chunk, or its break, was awaited.

        Only a wait during which nothing was there to be read shows that the gateway has
        caught up; its own delays don't.
        """
        self._is_gap_held_up = self._held_up_seconds > 0
        if seconds >= CAUGHT_UP_SECONDS:
            self._held_up_seconds = 0.0

    def has_caused_break(self, now: float) -> bool:
        """Return whether a break now is due to the caller, who didn't read."""
        is_recent = now - self._held_up_until <= MAX_BREAK_DELAY_SECONDS
        return is_recent and self._held_up_seconds >= MIN_UNREAD_SECONDS
