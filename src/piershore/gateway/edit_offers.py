"""Sending of accepted edits to the relays of all data halls.

The relays otherwise get an edit only from their watches of the platform: an edit that
was accepted just before an outage of the platform would come into force only after it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from math import inf

import trio

from piershore.core.configuration.relays import relays_of
from piershore.core.configuration.stored_object import StoredObject
from piershore.gateway.box_directory import BoxDirectory
from piershore.telemetry import metrics
from piershore.wire.config_batches import batch_of
from piershore.wire.peer_client import offer_batch

MAX_ATTEMPTS = 5
BASE_BACKOFF_SECONDS = 0.5
MAX_PARALLEL_CALLS = 16


class EditOffers:
    """Offers each accepted edit to every relay; retries until the relay accepts it.

    After `MAX_ATTEMPTS` a relay gets the edit only from its own watch.
    """

    def __init__(self, gateway: str, directory: BoxDirectory) -> None:
        self._gateway = gateway
        self._directory = directory
        self._sender, self._receiver = trio.open_memory_channel[StoredObject](inf)

    def offer(self, change: StoredObject) -> None:
        """Queue an accepted edit for all relays; never blocks."""
        self._sender.send_nowait(change)

    async def run(self) -> None:
        """Send queued edits until cancelled."""
        limiter = trio.CapacityLimiter(MAX_PARALLEL_CALLS)
        async with trio.open_nursery() as nursery:
            async for change in self._receiver:
                for address in self._relay_addresses():
                    nursery.start_soon(self._offer_to, address, change, limiter)

    def _relay_addresses(self) -> Iterator[str]:
        gateways = self._directory.gateways()
        names_by_data_hall: dict[str, list[str]] = defaultdict(list)
        for name, box in gateways.items():
            names_by_data_hall[box.data_hall].append(name)
        for data_hall, names in names_by_data_hall.items():
            for name in relays_of(data_hall, names):
                if name != self._gateway:
                    yield gateways[name].peer_address

    async def _offer_to(
        self, address: str, change: StoredObject, limiter: trio.CapacityLimiter
    ) -> None:
        batch = batch_of(change)
        for attempt in range(MAX_ATTEMPTS):
            is_accepted = await trio.to_thread.run_sync(
                offer_batch, address, batch, limiter=limiter
            )
            metrics.EDIT_OFFERS.labels(taken=is_accepted).inc()
            if is_accepted:
                return
            await trio.sleep(BASE_BACKOFF_SECONDS * 2**attempt)
