"""The list of endpoints as a document that peers can read."""

from __future__ import annotations

from collections.abc import Iterator

from piershore.core.documents.document import Document
from piershore.core.documents.splitting import join, split
from piershore.core.fleet.endpoint import Address, Endpoint, EndpointStage
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.numbers import checked_integer

FIELD = "endpoints"


class EndpointDocument:
    """Builds the document of a directory, and rebuilds it after each change."""

    def __init__(self, directory: EndpointDirectory) -> None:
        self._directory = directory
        self._fingerprint: int | None = None
        self._document: Document | None = None

    def current(self) -> Document:
        """Return the document of the current list, ordered by identity."""
        directory = self._directory
        if self._document is None or self._fingerprint != directory.fingerprint:
            entries = [
                _entry(endpoint) for endpoint in sorted(directory, key=_identity)
            ]
            chunks = tuple(split({FIELD: entries}))
            self._document = Document(directory.revision, chunks)
            self._fingerprint = directory.fingerprint
        if self._document.revision != directory.revision:
            self._document = Document(directory.revision, self._document.chunks)
        return self._document


def read_endpoints(document: Document) -> Iterator[Endpoint]:
    """Yield a peer's endpoints; raise ValueError if an entry can't be read."""
    for entry in join(document.chunks)[FIELD]:
        name, service, address, data_hall, slots, stage, born = entry
        yield Endpoint(
            name,
            service,
            Address.parse(address),
            data_hall,
            checked_integer(slots),
            EndpointStage(stage),
            checked_integer(born),
        )


def _identity(endpoint: Endpoint) -> str:
    return endpoint.identity


def _entry(endpoint: Endpoint) -> list:
    return [
        endpoint.name,
        endpoint.service,
        str(endpoint.address),
        endpoint.data_hall,
        endpoint.slots,
        endpoint.stage,
        endpoint.born,
    ]
