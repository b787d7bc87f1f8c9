"""A model of how the time of one engine step grows with its batch."""

from __future__ import annotations

DECAY = 0.995
ENOUGH_WEIGHT = 20.0
MIN_BATCH_CAP = 4


class PaceModel:
    """Decayed least squares of step time against batch size."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._sum_x = 0.0
        self._sum_y = 0.0
        self._sum_xx = 0.0
        self._sum_xy = 0.0

    def record(self, batch: int, seconds: float) -> None:
        """Add one step of `batch` generations that took `seconds`."""
        self._weight = self._weight * DECAY + 1
        self._sum_x = self._sum_x * DECAY + batch
        self._sum_y = self._sum_y * DECAY + seconds
        self._sum_xx = self._sum_xx * DECAY + batch * batch
        self._sum_xy = self._sum_xy * DECAY + batch * seconds

    def batch_cap(self, token_pace: float) -> int | None:
        """Return the largest batch whose steps take at most `token_pace` seconds.

        None means that there are too few samples to limit the batch.
        """
        if self._weight < ENOUGH_WEIGHT:
            return None
        spread = self._weight * self._sum_xx - self._sum_x**2
        if spread <= 1e-9 * self._sum_xx * self._weight:
            return self._proportional_cap(token_pace)
        slope = (self._weight * self._sum_xy - self._sum_x * self._sum_y) / spread
        base = (self._sum_y - slope * self._sum_x) / self._weight
        if slope <= 0:
            return None
        return max(MIN_BATCH_CAP, int((token_pace - base) / slope))

    def _proportional_cap(self, token_pace: float) -> int | None:
        seconds = self._sum_y / self._weight
        if seconds <= token_pace:
            return None
        batch = self._sum_x / self._weight
        return max(MIN_BATCH_CAP, int(batch * token_pace / seconds))
