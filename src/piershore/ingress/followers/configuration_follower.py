"""Follows the operators' configuration in the store, or at peers."""

from __future__ import annotations

from piershore.ingress.followers.store_follower import StoreFollower
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.ports import ConfigurationFeed
from piershore.platform.exceptions import InvalidObjectError
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import ConfigurationInForce, InvalidEntry


class ConfigurationFollower(StoreFollower):
    """Puts each newer configuration in force."""

    def __init__(
        self, state: GatewayState, feed: ConfigurationFeed, watch_seconds: float
    ) -> None:
        super().__init__(state, "configuration", watch_seconds)
        self._feed = feed
        self._document: bytes | None = None

    @property
    def document(self) -> bytes | None:
        """The document in force, for peers."""
        return self._document

    @property
    def is_known(self) -> bool:
        """Whether a configuration is in force."""
        return self._document is not None

    def take(self, document: bytes, source: str) -> bool:
        """Put a document in force if it is newer; tell whether it was."""
        try:
            configuration = self._feed.decode(document)
        except (InvalidObjectError, ValueError) as error:
            self._state.log.write(
                InvalidEntry("configuration", str(error)), is_failure=True
            )
            return False
        if not self._state.configuration.offer(configuration):
            return False
        self._document = document
        ingress_metrics.CONFIG_VERSION.set(configuration.version)
        routes = sum(map(len, configuration.routes_by_host.values()))
        self._state.log.write(
            ConfigurationInForce(configuration.version, routes, source),
            is_failure=True,
        )
        return True

    async def _read(self) -> int:
        document, revision = await self._feed.read()
        self._take_from_store(document)
        return revision

    async def _take_changes_after(self, revision: int, wait: float) -> int:
        document, reached = await self._feed.changes(revision, wait)
        self._take_from_store(document)
        return reached

    def _take_from_store(self, document: bytes | None) -> None:
        if document is not None and self.take(document, "store"):
            self._state.announce(in_any_fleet=True)
