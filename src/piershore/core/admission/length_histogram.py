"""A histogram of recent output lengths."""

from __future__ import annotations

from bisect import bisect_right

from hdrh.histogram import HdrHistogram

MAX_TOKENS = 131_072
SIGNIFICANT_DIGITS = 1
ROTATE_AFTER_SAMPLES = 512
REBUILD_SHARE = 0.05


class LengthHistogram:
    """The survival function of output lengths over recent samples.

    Two histograms rotate: the older one is dropped when the newer one is full, so a
    change of the workload shows after at most `ROTATE_AFTER_SAMPLES` samples.
    """

    def __init__(self) -> None:
        self._newer = self._empty()
        self._older: HdrHistogram | None = None
        self._newer_count = 0
        self._count = 0
        self._recorded = 0
        self._built_count = 0
        self._lengths: list[int] = []
        self._cumulative: list[int] = []

    @property
    def count(self) -> int:
        """Number of samples in both histograms."""
        return self._count

    @property
    def recorded(self) -> int:
        """Number of samples ever recorded."""
        return self._recorded

    def record(self, length: int) -> None:
        """Add the length of a finished generation, in tokens."""
        if self._newer_count >= ROTATE_AFTER_SAMPLES:
            self._older, self._newer = self._newer, self._empty()
            self._newer_count = 0
        self._newer.record_value(max(1, min(length, MAX_TOKENS)))
        self._newer_count += 1
        self._recorded += 1
        older = self._older.get_total_count() if self._older else 0
        self._count = self._newer_count + older

    def survival(self, length: int) -> float:
        """Return the share of samples that are longer than `length`."""
        self._rebuild_if_stale()
        index = bisect_right(self._lengths, length)
        count_at_most = self._cumulative[index - 1] if index else 0
        return 1 - count_at_most / self._cumulative[-1]

    def _rebuild_if_stale(self) -> None:
        change = abs(self._count - self._built_count)
        if self._lengths and change <= self._built_count * REBUILD_SHARE:
            return
        merged = self._empty()
        merged.add(self._newer)
        if self._older:
            merged.add(self._older)
        self._lengths = []
        self._cumulative = []
        total = 0
        for item in merged.get_recorded_iterator():
            total += item.count_added_in_this_iter_step
            self._lengths.append(item.value_iterated_to)
            self._cumulative.append(total)
        self._built_count = self._count

    @staticmethod
    def _empty() -> HdrHistogram:
        return HdrHistogram(1, MAX_TOKENS, SIGNIFICANT_DIGITS)
