"""Learning of output lengths by client account and request kind."""

from __future__ import annotations

from collections import OrderedDict

from piershore.core.admission.candidate import LengthKey
from piershore.core.admission.length_histogram import LengthHistogram

ENOUGH_SAMPLES = 32
KEYS_KEPT = 512


class LengthModel:
    """Survival of a generation's length, given how long it already is.

    Falls back from the account's kind to the kind to the whole service until
    enough samples are in; with none at all every length up to the most that
    the request allows is as likely as any other.
    """

    def __init__(self) -> None:
        self._by_key: OrderedDict[LengthKey, LengthHistogram] = OrderedDict()
        self._by_kind: dict[str, LengthHistogram] = {}
        self._service = LengthHistogram()

    def record(self, key: LengthKey, length: int) -> None:
        """Add the length of a finished generation, in tokens."""
        if key not in self._by_key and len(self._by_key) >= KEYS_KEPT:
            self._by_key.popitem(last=False)
        self._by_key.setdefault(key, LengthHistogram()).record(length)
        self._by_key.move_to_end(key)
        self._by_kind.setdefault(key.kind, LengthHistogram()).record(length)
        self._service.record(length)

    def survival(
        self, key: LengthKey, generated: int, further: int, max_tokens: int
    ) -> float:
        """Return the chance of more than `further` tokens after `generated`."""
        reached = generated + further
        if reached >= max_tokens:
            return 0.0
        histogram = self._histogram(key)
        if histogram is None:
            return (max_tokens - reached) / max(1, max_tokens - generated)
        given = histogram.survival(generated)
        if given <= 0:
            # Longer than anything seen: nothing is known but the maximum.
            return (max_tokens - reached) / max(1, max_tokens - generated)
        return histogram.survival(reached) / given

    def expected_further(
        self, key: LengthKey, generated: int, max_tokens: int
    ) -> float:
        """Return the mean number of tokens still to come."""
        total, step, place = 0.0, 8, 0
        while generated + place < max_tokens:
            chance = self.survival(key, generated, place, max_tokens)
            if chance < 0.001:
                break
            total += chance * min(step, max_tokens - generated - place)
            place += step
            step = max(8, place // 4)
        return total

    def _histogram(self, key: LengthKey) -> LengthHistogram | None:
        for histogram in (
            self._by_key.get(key),
            self._by_kind.get(key.kind),
            self._service,
        ):
            if histogram is not None and histogram.count >= ENOUGH_SAMPLES:
                return histogram
        return None
