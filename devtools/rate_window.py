"""Counts of requests in sliding windows."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

WINDOW_SECONDS = 4.0
"""Length of the windows in which what an endpoint gets is held against its rate."""
ALLOWED_FACTOR, ALLOWED_REQUESTS = 1.5, 5
"""An endpoint may get so many times its rate in a window, and so many requests more."""
TOLD_SECONDS = 0.5
"""A gateway counts so long after it has passed on an answer that names the rate."""
CONTACT_SECONDS = 3.0
"""Windows count that end so long after the rate was first named."""


def allowed_requests(rate: float) -> float:
    """Return how many requests an endpoint of a rate may get in one window."""
    return ALLOWED_FACTOR * rate * WINDOW_SECONDS + ALLOWED_REQUESTS


def most_in_window(times: Iterable[float], ends_after: float) -> int:
    """Return the most requests in one window that ends after a time."""
    window: deque[float] = deque()
    most = 0
    for at in sorted(times):
        window.append(at)
        while window[0] <= at - WINDOW_SECONDS:
            window.popleft()
        if at >= ends_after:
            most = max(most, len(window))
    return most
