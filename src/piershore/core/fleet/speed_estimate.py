"""What is known of the speed of one endpoint."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from statistics import median

MAX_SAMPLES = 64
MIN_SAMPLE_INTERVAL_SECONDS = 0.04
"""Streams of one endpoint share its steps, so of the gaps within this time only the
shortest counts; 64 samples at this distance cover several moments of slowness."""
SAMPLES_PER_UPDATE = 4
"""New samples after which an estimate is computed again."""
MIN_SAMPLES = 8
MIN_SPAN_SECONDS = 0.8
"""An estimate needs samples from more than a moment of slowness, which lasts 0.6 s."""
FULL_SAMPLES = 16
"""Samples from which on an estimate counts fully, and prevails over peers' reports."""
SETTLED_SAMPLES = 32
"""Samples that take about two seconds, longer than any moment of slowness."""
OWN_TIME_QUANTILE = 0.2
"""The share of gaps that are neither in a moment of slowness nor beside a prompt is at
least this at an endpoint that still makes progress."""
FRESH_SECONDS = 5.0
"""Age up to which an estimate counts fully, several times that of a report."""
HALF_LIFE_SECONDS = 10.0
"""Older estimates lose half their weight in this time: an endpoint that was thought
slow gets work again, and is learned again."""
EXPIRY_SECONDS = 30.0
"""Age from which on estimates and reports are dropped: their weight is then small."""


@dataclass(frozen=True)
class OwnTime:
    """An endpoint's own seconds per token, and the samples that it is based on.

    `is_rough` is set if prompts were read beside most of them: the time may then be
    twice as long as the endpoint's own.
    """

    token_seconds: float
    samples: int
    updated_at: float
    is_rough: bool = False

    def is_fresh(self, now: float) -> bool:
        """Return whether the endpoint was observed recently."""
        return now - self.updated_at < FRESH_SECONDS

    def prevails(self, now: float) -> bool:
        """Return whether what a gateway observed is better than those of peers."""
        is_full = self.samples >= FULL_SAMPLES and not self.is_rough
        return is_full and self.is_fresh(now)

    def confidence(self, now: float) -> float:
        """Return how far the estimate counts: 1 fully, 0 not at all."""
        age = max(0.0, now - self.updated_at - FRESH_SECONDS)
        return min(1.0, self.samples / FULL_SAMPLES) * 0.5 ** (age / HALF_LIFE_SECONDS)


@dataclass(frozen=True)
class _Sample:
    token_seconds: float
    has_pending_prompts: bool


class SpeedEstimate:
    """The own time of one endpoint, as this gateway observed and peers report it."""

    def __init__(self, service: str) -> None:
        self.service = service
        self._samples: deque[_Sample] = deque(maxlen=MAX_SAMPLES)
        self._times: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._reports: dict[str, OwnTime] = {}
        self._observed: OwnTime | None = None
        self._unused_samples = 0

    @property
    def reporters(self) -> Collection[str]:
        """The peers whose reports are held."""
        return self._reports.keys()

    @property
    def observed(self) -> OwnTime | None:
        """The time that this gateway observed; None with too few samples."""
        needed = 1 if self._observed is None else SAMPLES_PER_UPDATE
        if self._unused_samples >= needed:
            self._observed = self._estimate()
            self._unused_samples = 0
        return self._observed

    def record(
        self,
        token_seconds: float,
        now: float,
        has_pending_prompts: Callable[[], bool],
    ) -> None:
        """Record a gap between two chunks of a stream, divided by its tokens."""
        if self._times and now - self._times[-1] < MIN_SAMPLE_INTERVAL_SECONDS:
            last = self._samples[-1]
            if token_seconds < last.token_seconds:
                self._samples[-1] = _Sample(token_seconds, last.has_pending_prompts)
            return
        self._samples.append(_Sample(token_seconds, has_pending_prompts()))
        self._times.append(now)
        self._unused_samples += 1

    def is_expired(self, now: float) -> bool:
        """Return whether nothing was learned of the endpoint for a long time."""
        latest = [time.updated_at for time in self._reports.values()]
        latest += [self._times[-1]] if self._times else []
        return now - max(latest, default=now) > EXPIRY_SECONDS

    def drop_expired_reports(self, now: float) -> None:
        """Drop the reports of peers that have learned nothing for a long time."""
        for peer, reported in list(self._reports.items()):
            if now - reported.updated_at > EXPIRY_SECONDS:
                del self._reports[peer]

    def apply_report(self, peer: str, reported: OwnTime) -> None:
        """Replace what a peer reported."""
        self._reports[peer] = reported

    def merged(self, now: float) -> OwnTime | None:
        """Return what was observed, or its median with what peers report."""
        observed = self.observed
        if observed and observed.prevails(now):
            return observed
        known = list(self._reports.values())
        if observed is not None:
            known.append(observed)
        if not known:
            return None
        return OwnTime(
            median(one.token_seconds for one in known),
            max(one.samples for one in known),
            max(one.updated_at for one in known),
            all(one.is_rough for one in known),
        )

    def _estimate(self) -> OwnTime | None:
        if self._times[-1] - self._times[0] < MIN_SPAN_SECONDS:
            return None
        undisturbed = [
            s.token_seconds for s in self._samples if not s.has_pending_prompts
        ]
        if len(self._samples) < MIN_SAMPLES:
            return None
        value = _low_quantile(sample.token_seconds for sample in self._samples)
        if len(undisturbed) < MIN_SAMPLES:
            return OwnTime(value, len(self._samples), self._times[-1], is_rough=True)
        # Either can be too long, never too short.
        value = min(value, _low_quantile(undisturbed))
        return OwnTime(value, len(undisturbed), self._times[-1])


def _low_quantile(times: Iterable[float]) -> float:
    ordered = sorted(times)
    return ordered[int(OWN_TIME_QUANTILE * len(ordered))]
