"""Follows the operators' configuration in the store, or at peers."""

from __future__ import annotations

from collections.abc import Callable

import trio

from piershore.errors import PiershoreError
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.ports import ConfigurationFeed
from piershore.ingress.store_link import always, NOT_WATCHING_SECONDS, StoreLink
from piershore.platform.exceptions import (
    InvalidObjectError,
    WatchGapError,
)
from piershore.telemetry import ingress_metrics
from piershore.telemetry.events import ConfigurationInForce, InvalidEntry


class ConfigurationFollower:
    """Puts each newer configuration in force."""

    def __init__(
        self, state: GatewayState, feed: ConfigurationFeed, watch_seconds: float
    ) -> None:
        self._state = state
        self._feed = feed
        self._watch_seconds = watch_seconds
        self._document: bytes | None = None
        self._revision: int | None = None
        self._scope: trio.CancelScope | None = None
        self._should_watch: Callable[[], bool] = always
        self.link = StoreLink("store: configuration", state.random, state.log)

    @property
    def document(self) -> bytes | None:
        """The document in force, for peers."""
        return self._document

    async def run(self) -> None:
        """Follow the store for ever."""
        while True:
            with trio.CancelScope() as self._scope:
                await self._follow()

    def use_watchers(self, should_watch: Callable[[], bool]) -> None:
        """Leave the watching to others while `should_watch` is false."""
        self._should_watch = should_watch

    def restart(self) -> None:
        """Ask the store again now: a peer knows more."""
        self._revision = None
        if self._scope is not None:
            self._scope.cancel()

    def take(self, document: bytes, source: str) -> None:
        """Put a document in force if it is newer."""
        try:
            configuration = self._feed.decode(document)
        except (InvalidObjectError, ValueError) as error:
            self._state.log.write(
                InvalidEntry("configuration", str(error)), is_failure=True
            )
            return
        if not self._state.configuration.offer(configuration):
            return
        self._document = document
        ingress_metrics.CONFIG_VERSION.set(configuration.version)
        routes = sum(map(len, configuration.routes_by_host.values()))
        self._state.log.write(
            ConfigurationInForce(configuration.version, routes, source),
            is_failure=True,
        )

    async def _follow(self) -> None:
        while True:
            if self.document and not self._should_watch():
                self._revision = None
                await trio.sleep(NOT_WATCHING_SECONDS)
                continue
            try:
                await self._step()
                self.link.note_success()
            except WatchGapError:
                self._revision = None
            except PiershoreError as error:
                # A watch that was cut may have missed changes: read all again.
                self._revision = None
                await self.link.note_failure(f"{error.code}: {error.message}")

    async def _step(self) -> None:
        if self._revision is None:
            document, revision = await self._feed.read()
        else:
            document, revision = await self._feed.changes(
                self._revision, self._watch_seconds
            )
        if document is not None:
            self.take(document, "store")
        self._revision = revision
