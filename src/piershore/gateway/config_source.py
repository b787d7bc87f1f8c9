"""Source of this gateway's configuration: the platform or a relay."""

from __future__ import annotations

from random import Random

import trio

from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.relays import relays_of, rendezvous_order
from piershore.core.configuration.stored_object import StoredObject
from piershore.core.silence_timer import SilenceTimer
from piershore.gateway.box_directory import BoxDirectory
from piershore.platform.exceptions import PlatformUnavailableError, WatchGapError
from piershore.platform.http_platform_store import HttpPlatformStore
from piershore.telemetry import metrics
from piershore.telemetry.logs import log_state_change
from piershore.wire.config_batches import BatchReceiver
from piershore.wire.link_pb2 import ConfigBatch, FollowRequest
from piershore.wire.peer_client import follow_peer

RESYNC_SECONDS = 30.0
RELAY_TIMEOUT_SECONDS = 4.0
BASE_BACKOFF_SECONDS = 0.25


class ConfigSource:
    """Keeps a `ConfigView` and a `BoxDirectory` up to date.

    A gateway that is a relay of its data hall watches the platform. The others follow a
    relay of their data hall; if none answers, up to two other gateways are tried and
    then the platform. `seeds` are peer addresses that are used while no gateway is
    known. `box_list_period` is in seconds.
    """

    def __init__(
        self,
        gateway: str,
        data_hall: str,
        store: HttpPlatformStore,
        view: ConfigView,
        directory: BoxDirectory,
        box_list_period: float,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self._seeds = seeds
        self._gateway = gateway
        self._data_hall = data_hall
        self._store = store
        self._view = view
        self._directory = directory
        self._box_list_period = box_list_period
        self._random = Random()
        self._relaying = False
        self._failures = 0

    async def run(self) -> None:
        """Update the view and the directory until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._refresh_boxes)
            while True:
                await self._follow_once()
                pause = BASE_BACKOFF_SECONDS * 2 ** min(self._failures, 4)
                await trio.sleep(pause * self._random.uniform(0.5, 1.0))

    async def _follow_once(self) -> None:
        is_follower = self._view.complete_to > 0 and not self._should_relay()
        if is_follower and await self._follow_any_peer():
            return
        await self._follow_platform()
        if self._failures and not is_follower:
            # The platform is unreachable: a peer's configuration may be older, but
            # lets this gateway serve.
            await self._follow_any_peer()

    async def _follow_any_peer(self) -> bool:
        for address in self._peer_addresses():
            if await self._follow(address):
                return True
        return False

    def _should_relay(self) -> bool:
        gateways = self._directory.gateways()
        in_data_hall = [
            n for n, b in gateways.items() if b.data_hall == self._data_hall
        ]
        return (
            self._gateway in relays_of(self._data_hall, in_data_hall)
            or not in_data_hall
        )

    def _peer_addresses(self) -> list[str]:
        gateways = self._directory.gateways()
        gateways.pop(self._gateway, None)
        in_data_hall = [
            n for n, b in gateways.items() if b.data_hall == self._data_hall
        ]
        relays = relays_of(self._data_hall, in_data_hall)
        others = rendezvous_order(self._gateway, set(gateways) - set(relays))
        known = [gateways[name].peer_address for name in (*relays, *others[:2])]
        return known or list(self._seeds)

    async def _follow(self, address: str) -> bool:
        """Follow a peer until it fails; return whether it sent anything.

        Also stop if this gateway becomes a relay, once the peer has sent a batch.
        """
        closed = trio.Event()
        silence = SilenceTimer(RELAY_TIMEOUT_SECONDS, trio.current_time())
        has_received = False
        receiver = BatchReceiver(self._view)

        def receive(batch: ConfigBatch) -> None:
            nonlocal has_received
            has_received = True
            silence.record_message(trio.current_time())
            receiver.apply(batch)
            self._update_revision_gauge()
            if batch.boxes:
                self._directory.update_from(batch.boxes)

        request = FollowRequest(
            gateway=self._gateway, complete_to=self._view.complete_to
        )
        reader = follow_peer(address, request, receive, lambda cause: closed.set())
        reader.start()
        try:
            while not closed.is_set():
                is_now_relay = has_received and self._should_relay()
                if silence.is_over(trio.current_time()) or is_now_relay:
                    break
                with trio.move_on_at(silence.next_check):
                    await closed.wait()
        finally:
            reader.close()
        return has_received

    async def _follow_platform(self) -> None:
        try:
            if self._view.apply_snapshot(await self._store.list()):
                self._update_revision_gauge()
            self._relaying = True
            with trio.move_on_after(RESYNC_SECONDS):
                async for item in self._store.watch(self._view.complete_to):
                    self._failures = 0
                    self._apply(item)
                    if not self._should_relay():
                        break
        except WatchGapError as error:
            metrics.PLATFORM_ERRORS.labels(code=error.code).inc()
        except PlatformUnavailableError as error:
            metrics.PLATFORM_ERRORS.labels(code=error.code).inc()
            if self._failures == 0:
                log_state_change("platform_lost", gateway=self._gateway)
            self._failures += 1
        finally:
            self._relaying = False

    def _apply(self, item: StoredObject | int) -> None:
        if isinstance(item, StoredObject):
            if self._view.apply(item):
                metrics.CONFIG_CHANGES.inc()
            self._view.mark_complete(item.version)
        else:
            self._view.mark_complete(item)
        self._update_revision_gauge()

    def _update_revision_gauge(self) -> None:
        metrics.CONFIG_REVISION.set(self._view.complete_to)

    async def _refresh_boxes(self) -> None:
        # Only relays read the list from the platform and send it to their followers;
        # another gateway reads it while it has none.
        while True:
            if self._relaying or not self._directory.boxes:
                try:
                    self._directory.update(await self._store.boxes())
                except PlatformUnavailableError as error:
                    metrics.PLATFORM_ERRORS.labels(code=error.code).inc()
            await trio.sleep(self._box_list_period)
