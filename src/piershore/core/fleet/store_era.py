"""Tracks the era of the store, which each of its responses carries."""

from __future__ import annotations

from piershore.core.fleet.store_revision import MAX_ERA

MAX_ERA_DIGITS = 20
"""More digits than any era has. Parsing an integer of over 4,300 digits raises
ValueError, which stopped the task that follows the store."""
MAX_REGRESSION_SECONDS = 10.0
"""Responses of an earlier era are delayed, or come from a lagging replica. If they
continue for this long, the higher era was wrong: a gateway that went on ignoring all
responses of the lower era would lose the store permanently."""


class StoreEra:
    """The highest era in the store's responses, across reconnects."""

    def __init__(self) -> None:
        self._value = 0
        self._regressed_at: float | None = None
        self._finding = ""
        self._last_finding = ""

    @property
    def value(self) -> int:
        """The era; 0 until a response carries one."""
        return self._value

    def observe(self, text: str | None, now: float) -> bool:
        """Update the era from a response; return False if the response is outdated.

        A missing or invalid era leaves the known one in force. A response of an earlier
        era is outdated, until such responses have come for `MAX_REGRESSION_SECONDS`;
        the known era stays the highest even then.
        """
        if text is None:
            self._record_finding("a response carries no era" if self._value else "")
            return True
        if not _is_era(text):
            self._record_finding(f"{text[:MAX_ERA_DIGITS]!r} is not a valid era")
            return True
        era = int(text)
        if era < self._value:
            self._record_finding(
                f"a response is of era {era}, after one of era {self._value}"
            )
            return self._has_regressed_for_long(now)
        self._value, self._regressed_at = era, None
        return True

    def take_finding(self) -> str:
        """Return a fault found since the last call, else an empty string.

        A fault that repeats is returned once.
        """
        finding, self._finding = self._finding, ""
        return finding

    def _has_regressed_for_long(self, now: float) -> bool:
        if self._regressed_at is None:
            self._regressed_at = now
        return now - self._regressed_at > MAX_REGRESSION_SECONDS

    def _record_finding(self, finding: str) -> None:
        if finding and finding != self._last_finding:
            self._finding = self._last_finding = finding


def _is_era(text: str) -> bool:
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
    return is_number and int(text) <= MAX_ERA
