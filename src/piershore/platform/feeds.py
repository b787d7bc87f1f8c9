"""Feeds of configuration, drains and endpoints from the platform's store."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import orjson

from piershore.checkpoints import with_checkpoints
from piershore.core.documents.document import Document, DocumentChunk
from piershore.core.documents.splitting import split
from piershore.core.fleet.drained_halls import DrainedHalls
from piershore.core.fleet.endpoint import Address, Endpoint
from piershore.core.fleet.store_revision import StoreRevision
from piershore.core.routes.partial_configuration import PartialConfiguration
from piershore.core.routes.serving_configuration import ServingConfiguration
from piershore.ingress.ports import (
    ConfigurationFeed,
    DrainFeed,
    EndpointChange,
    EndpointFeed,
    StoreFeed,
)
from piershore.platform.endpoint_codec import decode_endpoint, is_word
from piershore.platform.exceptions import InvalidObjectError
from piershore.platform.object_client import (
    ObjectChange,
    ObjectChanges,
    ObjectClient,
    PlatformObject,
)
from piershore.platform.routing_codec import (
    decode_partial_configuration,
    merge_decoded_configurations,
)

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
ENDPOINT_KIND = "servers"
DRAIN_KIND = "evacuations"
"""Each object has the name of a drained data hall."""


class _StoredFeed(StoreFeed):
    """A feed with its own connection to the store."""

    def __init__(self, store: Address) -> None:
        self._client = ObjectClient(store)

    @property
    def last_received_at(self) -> float:
        """When bytes of an answer were last received, by trio's clock."""
        return self._client.last_received_at

    def pop_era_finding(self) -> str:
        """Return what was wrong with the era of answers, each fault only once."""
        return self._client.era.take_finding()

    async def close(self) -> None:
        """Close the connection."""
        await self._client.close()


class StoredConfigurationFeed(_StoredFeed, ConfigurationFeed):
    """The object that contains the complete newest configuration."""

    async def read(self) -> tuple[Document | None, StoreRevision]:
        """Return the newest document, if there is one, and the revision."""
        listed = await self._client.list(CONFIGURATION_KIND)
        for item in listed.objects:
            if item.name == CONFIGURATION_NAME:
                return await build_document(item.spec, listed.revision), listed.revision
        return None, listed.revision

    async def changes(
        self, revision: StoreRevision, wait: float
    ) -> tuple[Document | None, StoreRevision]:
        """Wait for a newer document."""
        batch = await self._client.watch(CONFIGURATION_KIND, revision, wait)
        reached = _next_revision(batch, revision)
        spec = None
        for change in batch.changes:
            if change.object.name == CONFIGURATION_NAME and not change.is_gone:
                spec = change.object.spec
        return None if spec is None else await build_document(spec, reached), reached

    def decode_chunk(self, part: DocumentChunk) -> PartialConfiguration:
        """Decode one chunk of a document."""
        try:
            fields = orjson.loads(part.data)
        except orjson.JSONDecodeError as error:
            raise InvalidObjectError(f"a chunk is not JSON: {error}") from error
        return decode_partial_configuration(fields)

    def join(self, pieces: Iterable[PartialConfiguration]) -> ServingConfiguration:
        """Join the decoded chunks of a complete document."""
        return merge_decoded_configurations(pieces)


async def build_document(spec: Mapping, revision: StoreRevision) -> Document:
    """Split the fields of an object into the chunks of a document.

    Other tasks run between the chunks. Raise `InvalidObjectError`.
    """
    if not isinstance(spec, Mapping):
        raise InvalidObjectError("the configuration is not an object")
    try:
        chunks = [chunk async for chunk in with_checkpoints(split(spec))]
    except orjson.JSONEncodeError as error:
        raise InvalidObjectError(f"the configuration is invalid: {error}") from error
    return Document(revision, tuple(chunks))


class StoredDrainFeed(_StoredFeed, DrainFeed):
    """The operators' requests to drain data halls, which then get no new work.

    A name that no endpoint could have as its data hall is passed over. Some of them
    can't be encoded, neither in reports to peers nor in log lines.
    """

    def __init__(self, store: Address) -> None:
        super().__init__(store)
        self._data_halls: set[str] = set()

    async def read(self) -> DrainedHalls:
        """Return the drained data halls."""
        listed = await self._client.list(DRAIN_KIND)
        names = (item.name for item in listed.objects)
        self._data_halls = set(filter(is_word, names))
        return self._drained(listed.revision)

    async def changes(self, revision: StoreRevision, wait: float) -> DrainedHalls:
        """Wait for changes; return the data halls that are drained then."""
        batch = await self._client.watch(DRAIN_KIND, revision, wait)
        for change in batch.changes:
            if change.is_gone:
                self._data_halls.discard(change.object.name)
            elif is_word(change.object.name):
                self._data_halls.add(change.object.name)
        return self._drained(_next_revision(batch, revision))

    def resume_from(self, drained: DrainedHalls) -> None:
        """Continue from the view of a peer, to watch for later changes."""
        self._data_halls = set(drained.data_halls)

    def _drained(self, revision: StoreRevision) -> DrainedHalls:
        return DrainedHalls(revision, frozenset(self._data_halls))


class StoredEndpointFeed(_StoredFeed, EndpointFeed):
    """The entries that endpoints write about themselves."""

    def __init__(self, store: Address) -> None:
        super().__init__(store)
        self._findings: list[str] = []
        self._reported_errors: dict[str, str] = {}

    async def read(self) -> tuple[tuple[Endpoint, ...], StoreRevision]:
        """Return all endpoints and the revision."""
        listed = await self._client.list(ENDPOINT_KIND)
        names = {item.name for item in listed.objects}
        for removed in self._reported_errors.keys() - names:
            del self._reported_errors[removed]
        endpoints = (self._decode(item) for item in listed.objects)
        return tuple(filter(None, endpoints)), listed.revision

    async def changes(
        self, revision: StoreRevision, wait: float
    ) -> tuple[tuple[EndpointChange, ...], StoreRevision]:
        """Wait for changes; return them and the revision reached."""
        batch = await self._client.watch(ENDPOINT_KIND, revision, wait)
        return tuple(map(self._decode_change, batch.changes)), _next_revision(
            batch, revision
        )

    def pop_findings(self) -> list[str]:
        """Return the errors found in entries since the last call."""
        findings, self._findings = self._findings, []
        return findings

    def _decode_change(self, change: ObjectChange) -> EndpointChange:
        name = change.object.name
        if change.is_gone:
            self._reported_errors.pop(name, None)
            return EndpointChange(name, None)
        return EndpointChange(name, self._decode(change.object))

    def _decode(self, item: PlatformObject) -> Endpoint | None:
        """Decode an entry; return None if it is invalid, so that others stay usable.

        The error of an entry is reported once, not at each read.
        """
        try:
            endpoint = decode_endpoint(item.name, item.spec)
        except InvalidObjectError as error:
            if self._reported_errors.get(item.name) != error.message:
                self._reported_errors[item.name] = error.message
                self._findings.append(error.message)
            return None
        self._reported_errors.pop(item.name, None)
        return endpoint


def _next_revision(batch: ObjectChanges, revision: StoreRevision) -> StoreRevision:
    """Return the revision from which the next watch starts.

    A watch that ends without changes may have missed some if the store was about to
    drop its history, so the next watch starts at the same revision.
    """
    return batch.revision if batch.changes else revision
