"""Follows the operators' configuration in the store or at peers."""

from __future__ import annotations

from piershore.checkpoints import with_checkpoints
from piershore.core.documents.document import Document
from piershore.core.fleet.store_revision import StoreRevision
from piershore.core.routes.partial_configuration import PartialConfiguration
from piershore.ingress.followers.store_follower import StoreFollower
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.ports import ConfigurationFeed
from piershore.platform.exceptions import InvalidObjectError
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import ConfigurationInForce, InvalidEntry


class ConfigurationFollower(StoreFollower):
    """Applies each newer configuration."""

    def __init__(
        self, state: GatewayState, feed: ConfigurationFeed, watch_seconds: float
    ) -> None:
        super().__init__(state, "configuration", watch_seconds, feed)
        self._feed = feed
        self._document: Document | None = None
        self._pieces: dict[str, PartialConfiguration] = {}

    @property
    def document(self) -> Document | None:
        """The document in force, as peers read it."""
        return self._document

    @property
    def is_known(self) -> bool:
        """Whether a configuration is in force."""
        return self._document is not None

    @property
    def known_revision(self) -> StoreRevision | None:
        """The revision of the document in force, from the store or a peer."""
        return self._document.revision if self._document is not None else None

    async def apply(self, document: Document, source: str) -> bool:
        """Put a document in force if it is newer; return whether it was.

        An invalid document is logged and ignored.
        """
        try:
            pieces = await self._decode(document)
            configuration = self._feed.join(pieces.values())
        except InvalidObjectError as error:
            self._state.log.write(
                InvalidEntry("configuration", error.message), is_failure=True
            )
            return False
        if not self._state.configuration.apply_if_newer(configuration):
            return False
        self._document = document
        self._pieces = pieces
        ingress_metrics.CONFIG_VERSION.set(configuration.version)
        routes = sum(map(len, configuration.routes_by_host.values()))
        self._state.log.write(
            ConfigurationInForce(configuration.version, routes, source),
            is_failure=True,
        )
        return True

    async def _decode(self, document: Document) -> dict[str, PartialConfiguration]:
        """Decode the new chunks; reuse the pieces decoded from the others."""
        pieces = {}
        async for chunk in with_checkpoints(document.chunks):
            known = self._pieces.get(chunk.digest)
            pieces[chunk.digest] = known or self._feed.decode_chunk(chunk)
        return pieces

    async def _read(self) -> StoreRevision:
        document, revision = await self._feed.read()
        await self._apply_from_store(document)
        return revision

    async def _apply_changes_after(
        self, revision: StoreRevision, wait: float
    ) -> StoreRevision:
        document, reached = await self._feed.changes(revision, wait)
        await self._apply_from_store(document)
        return reached

    async def _apply_from_store(self, document: Document | None) -> None:
        if document is not None and await self.apply(document, "store"):
            self._state.announce()
