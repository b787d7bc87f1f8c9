"""The era of the store, as its answers tell it."""

from __future__ import annotations

from piershore.core.fleet.store_revision import LARGEST_ERA

MOST_DIGITS = 20
"""More than any era has. Reading a text of over 4,300 digits as a number raises an
error, which ended the following of the store."""
LONGEST_FALL_SECONDS = 10.0
"""Answers of an earlier era come late, or from a part of the store that lags. After so
long the higher era was a fault: a gateway that passed over all answers for it would be
without the store for good."""


class StoreEra:
    """The highest era that answers on one connection after the other have told."""

    def __init__(self) -> None:
        self._value = 0
        self._fell_at: float | None = None
        self._finding = ""
        self._told = ""

    @property
    def value(self) -> int:
        """The era; 0 as long as none was told."""
        return self._value

    def take(self, text: str | None, now: float) -> bool:
        """Take what an answer says; False if it is from before the known era.

        Without a number that can be an era the last good one holds, and so it does when
        answers have told a lower one for `LONGEST_FALL_SECONDS`.
        """
        if text is None:
            self._note("an answer names no era" if self._value else "")
            return True
        if not _is_era(text):
            self._note(f"{text[:MOST_DIGITS]!r} is no era")
            return True
        era = int(text)
        if era < self._value:
            self._note(f"an answer is of era {era}, after one of era {self._value}")
            return self._falls_for_long(now)
        self._value, self._fell_at = era, None
        return True

    def take_finding(self) -> str:
        """Return what was wrong since the last call, each fault once; else nothing."""
        finding, self._finding = self._finding, ""
        return finding

    def _falls_for_long(self, now: float) -> bool:
        if self._fell_at is None:
            self._fell_at = now
        return now - self._fell_at > LONGEST_FALL_SECONDS

    def _note(self, finding: str) -> None:
        if finding and finding != self._told:
            self._finding = self._told = finding


def _is_era(text: str) -> bool:
    is_number = text.isascii() and text.isdigit() and len(text) <= MOST_DIGITS
    return is_number and int(text) <= LARGEST_ERA
