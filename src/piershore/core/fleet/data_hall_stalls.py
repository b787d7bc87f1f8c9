"""How often streams from each data hall stall on the network.

A lost packet delays a stream by 0.2 s, which is longer than a caller's latency target
allows. Links between data halls lose packets at times, those within a data hall seldom,
so the placement cost of an endpoint includes the stalls observed in its data hall. In
simulated days on which one of three data halls lost 2.5 % of its packets for half the
day, 68 instead of 79 of 329 long streams were late (three pairs).
"""

from __future__ import annotations

MIN_STALL_SECONDS = 0.18
"""Shortest pause that counts as a stall: a lost packet is sent again after 0.2 s, while
prompts that the engine reads between two tokens delay 95 of 100 streams by less than
0.1 s."""
CHUNK_WEIGHT = 0.02
"""Weight of the newest chunk in the moving average: some 50 chunks count, which is half
a second of a gateway's streams."""
STALL_COST = 10.0
"""Cost of an endpoint when all chunks stall: 3 stalls in 100 chunks cost as much as a
third of its memory in use."""


class DataHallStalls:
    """Moving averages of the share of stalled chunks, by data hall."""

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}

    def record_chunk(self, data_hall: str, gap: float) -> None:
        """Record a chunk of a stream that came `gap` seconds after the last one."""
        share = self._shares.get(data_hall, 0.0)
        stalled = float(gap >= MIN_STALL_SECONDS)
        self._shares[data_hall] = share + CHUNK_WEIGHT * (stalled - share)

    def cost(self, data_hall: str) -> float:
        """Return the placement cost of the data hall's stalls."""
        return STALL_COST * self._shares.get(data_hall, 0.0)
