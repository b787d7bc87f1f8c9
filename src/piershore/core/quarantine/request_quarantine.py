"""Quarantine for requests, by their whole content and by their traits."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from piershore.core.quarantine.crash_report import CrashReport
from piershore.core.quarantine.quarantine import Quarantine
from piershore.core.quarantine.request_fingerprint import RequestFingerprint
from piershore.core.quarantine.request_traits import is_trait
from piershore.core.quarantine.trait_quarantine import TraitQuarantine


class RequestQuarantine:
    """Requests that may crash endpoints, alone or as one of a kind.

    The subject of a report is the content of a request or a trait.
    """

    def __init__(self) -> None:
        self._contents = Quarantine()
        self._traits = TraitQuarantine()

    def __len__(self) -> int:
        """Return the number of contents, and of groups of traits, in quarantine."""
        return len(self._contents) + len(self._traits.groups)

    def set_rank(self, rank: Callable[[str], int]) -> None:
        """Set the function that returns this gateway's rank for a key, from 0."""
        self._traits.set_rank(rank)

    def seconds_until_release(
        self, request: RequestFingerprint, now: float
    ) -> float | None:
        """Return the seconds until a request may be sent; None if it may be now."""
        waits = (
            self._contents.seconds_until_release(request.content, now),
            self._traits.seconds_until_release(request.traits, now),
        )
        return max((wait for wait in waits if wait is not None), default=None)

    def is_held(self, request: RequestFingerprint) -> bool:
        """Return whether a request is released only as a probe."""
        is_content_held = self._contents.is_quarantined(request.content)
        return is_content_held or self._traits.is_held(request.traits)

    def quarantined(self, request: RequestFingerprint) -> Iterator[str]:
        """Yield the contents and traits for which a request is held."""
        if self._contents.is_quarantined(request.content):
            yield request.content
        for group in self._traits.groups:
            if group.traits <= request.traits:
                yield from group.traits

    def record_sent(self, request: RequestFingerprint, now: float) -> list[str]:
        """Record that a request is sent; return the subjects that it probes."""
        probed = self._traits.record_sent(request.traits, now)
        if self._contents.record_sent(request.content, now):
            probed.append(request.content)
        return probed

    def record_crash(
        self, request: RequestFingerprint, identity: str, now: float
    ) -> list[str]:
        """Record the crash of an endpoint; return the subjects newly accused."""
        accused = self._traits.record_crash(request.traits, identity, now)
        if self._contents.record_crash(request.content, identity, now):
            accused.append(request.content)
        return accused

    def crashes(self, request: RequestFingerprint) -> int:
        """Return the number of crashes that a whole request may have caused."""
        report = self._contents.report(request.content)
        return len(report.crashed - report.cleared) if report else 0

    def record_completion(
        self, request: RequestFingerprint, began_at: float, now: float
    ) -> list[str]:
        """Record that a request completed; return the subjects that this clears."""
        cleared = self._traits.record_answer(request.traits, began_at, now)
        if self._contents.record_completion(request.content, now):
            cleared.append(request.content)
        return cleared

    def record_answer(
        self, request: RequestFingerprint, began_at: float, now: float
    ) -> list[str]:
        """Record that an endpoint lived on after it began an answer at `began_at`.

        Return the traits that this clears.
        """
        return self._traits.record_answer(request.traits, began_at, now)

    def apply_report(self, report: CrashReport, now: float) -> bool:
        """Apply a gateway's report; return whether any of it is new."""
        if is_trait(report.content):
            return self._traits.apply_report(report, now)
        return self._contents.apply_report(report, now)

    def needs_answer(self, report: CrashReport, now: float) -> bool:
        """Return whether peers lack what clears the subject of a report."""
        if is_trait(report.content):
            return self._traits.knows_more_than(report)
        return self._contents.clear_if_completed(report.content, now)

    def is_quarantined(self, subject: str) -> bool:
        """Return whether a content, or a group with a trait, is in quarantine."""
        if not is_trait(subject):
            return self._contents.is_quarantined(subject)
        return any(subject in group.traits for group in self._traits.groups)

    def seconds_until_probe(self, subject: str, now: float) -> float | None:
        """Return the seconds until a content is probed; None for a trait."""
        if is_trait(subject):
            return None
        return self._contents.seconds_until_release(subject, now)

    def report(self, subject: str, now: float) -> CrashReport | None:
        """Return the report for peers about one subject, or None."""
        if is_trait(subject):
            return self._traits.report(subject, now)
        return self._contents.report(subject)

    def quarantined_reports(self, now: float) -> Iterator[CrashReport]:
        """Yield the reports for peers about all that is in quarantine."""
        yield from self._traits.quarantined_reports(now)
        yield from self._contents.quarantined_reports()

    def drop_expired(self, now: float) -> None:
        """Forget old evidence about traits."""
        self._traits.drop_expired(now)
