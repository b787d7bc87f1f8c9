"""A budget that ties the number of retries to the number of first tries."""

from __future__ import annotations

MOST_SAVED = 20.0


class RetryBudget:
    """Each first try saves `share` of a retry, up to `MOST_SAVED`."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved = MOST_SAVED

    @property
    def saved(self) -> float:
        """Number of retries that may be spent now."""
        return self._saved

    def note_first_try(self) -> None:
        """Save a share of a retry."""
        self._saved = min(MOST_SAVED, self._saved + self._share)

    def spend(self) -> bool:
        """Spend one retry; tell whether there was one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
