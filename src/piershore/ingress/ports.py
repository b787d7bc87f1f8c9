"""What the gateway asks of the platform's adapter."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from piershore.core.documents.document import Document, DocumentPart
from piershore.core.fleet.drained_halls import DrainedHalls
from piershore.core.fleet.endpoint import Address, Endpoint
from piershore.core.fleet.endpoint_notice import EndpointNotice
from piershore.core.fleet.generation_work import GenerationSize
from piershore.core.fleet.store_revision import StoreRevision
from piershore.core.routes.configuration_piece import ConfigurationPiece
from piershore.core.routes.serving_configuration import (
    AccountRef,
    ServingConfiguration,
)
from piershore.core.streams.silence import EndpointReport
from piershore.http1.client_connection import ClientConnection
from piershore.http1.message import Headers, RequestHead, ResponseHead


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request as read from its head.

    `time_left` is how many seconds the caller will wait, if it says so.
    """

    head: RequestHead
    identity: str
    time_left: float | None
    key: str | None
    size: GenerationSize | None


@dataclass(frozen=True)
class MemoryCopy:
    """Where a generation's memory lies: a copy's name at its holder."""

    holder: Address
    name: str


@dataclass(frozen=True)
class ForwardOrder:
    """What the gateway adds to a request for an endpoint; times in seconds."""

    time_left: float
    account: AccountRef | None
    priority: int | None = None
    continue_from: MemoryCopy | None = None
    last_event_id: str | None = None
    back_up_at: Address | None = None


@dataclass(frozen=True)
class EndpointAnswer:
    """What an endpoint's answer says of the request.

    `is_sound` holds for an answer that may be passed on as the endpoint's own.
    """

    status: int
    was_not_run: bool
    is_wrong_instance: bool
    is_sound: bool

    @property
    def is_success(self) -> bool:
        """Whether the endpoint served the request."""
        return self.is_sound and 200 <= self.status < 300


@dataclass(frozen=True)
class MoveResult:
    """The copy that a move made."""

    copy: MemoryCopy


class RequestDialect(ABC):
    """Reads and writes heads of requests and answers."""

    @abstractmethod
    def read_request(self, head: RequestHead) -> CallerRequest:
        """Decode a caller's request; raise `BadRequestError` if it is faulty."""

    @abstractmethod
    def for_endpoint(
        self,
        request: CallerRequest,
        body_length: int,
        endpoint: Endpoint,
        order: ForwardOrder,
    ) -> RequestHead:
        """Return the head that the endpoint gets."""

    @abstractmethod
    def is_own_answer(self, request: CallerRequest, head: ResponseHead) -> bool:
        """Tell whether an answer belongs to this request and to no other."""

    @abstractmethod
    def read_answer(self, head: ResponseHead) -> EndpointAnswer:
        """Decode the head of an endpoint's answer."""

    @abstractmethod
    def read_notice(self, head: ResponseHead) -> EndpointNotice:
        """Decode what an endpoint asks beside its answer."""

    @abstractmethod
    def answer_headers(self, head: ResponseHead) -> Headers:
        """Return the endpoint's headers that the caller gets."""

    @abstractmethod
    def own_headers(
        self, request: CallerRequest | None, retry_after: float | None
    ) -> Headers:
        """Return the headers of an answer that the gateway gives itself."""


class GenerationMover(ABC):
    """Copies a running generation's memory from one engine to another."""

    @abstractmethod
    async def move(
        self,
        connection: ClientConnection,
        source: Address,
        request_id: str,
        target: Address,
        *,
        is_last: bool,
    ) -> MoveResult | None:
        """Copy what is new; with `is_last`, the run stops first.

        Return None when it can't be moved. Raise `ExchangeBrokenError`.
        """

    @abstractmethod
    async def release(self, connection: ClientConnection, copy: MemoryCopy) -> None:
        """Free a copy that won't be used."""


class EndpointReports(ABC):
    """What endpoints say of themselves when they are asked."""

    @abstractmethod
    async def ask(
        self, connection: ClientConnection, address: Address
    ) -> EndpointReport:
        """Ask an endpoint for its report; raise `ExchangeBrokenError`."""


@dataclass(frozen=True)
class EndpointChange:
    """An endpoint that was added or changed; `endpoint` is None if it is gone, or if
    its entry can't be read.
    """

    name: str
    endpoint: Endpoint | None


class StoreFeed(ABC):
    """Something that is followed in the platform's store.

    Reads raise `PlatformUnavailableError` when the store doesn't answer.
    """

    @property
    @abstractmethod
    def heard_at(self) -> float:
        """When something of an answer came last, by trio's clock."""

    @abstractmethod
    def take_era_finding(self) -> str:
        """Return what was wrong with the era of answers, each fault once."""

    @abstractmethod
    async def close(self) -> None:
        """Close connections."""


class ConfigurationFeed(StoreFeed):
    """The operators' configuration; raises `InvalidObjectError` for a faulty one."""

    @abstractmethod
    async def read(self) -> tuple[Document | None, StoreRevision]:
        """Return the newest document, if there is one, and the revision."""

    @abstractmethod
    async def changes(
        self, revision: StoreRevision, wait: float
    ) -> tuple[Document | None, StoreRevision]:
        """Wait for a newer document; raise `WatchGapError` after a gap."""

    @abstractmethod
    def decode_part(self, part: DocumentPart) -> ConfigurationPiece:
        """Decode one part of a document."""

    @abstractmethod
    def join(self, pieces: Iterable[ConfigurationPiece]) -> ServingConfiguration:
        """Join the decoded parts of a whole document."""


class DrainFeed(StoreFeed):
    """The data halls that are to get nothing new."""

    @abstractmethod
    async def read(self) -> DrainedHalls:
        """Return the data halls that are drained."""

    @abstractmethod
    async def changes(self, revision: StoreRevision, wait: float) -> DrainedHalls:
        """Wait for changes; raise `WatchGapError` after a gap."""

    @abstractmethod
    def go_on_from(self, drained: DrainedHalls) -> None:
        """Take what peers know, to watch for changes after it."""


class EndpointFeed(StoreFeed):
    """The platform's list of endpoints."""

    @abstractmethod
    async def read(self) -> tuple[tuple[Endpoint, ...], StoreRevision]:
        """Return all endpoints and the revision."""

    @abstractmethod
    async def changes(
        self, revision: StoreRevision, wait: float
    ) -> tuple[tuple[EndpointChange, ...], StoreRevision]:
        """Wait for changes; raise `WatchGapError` after a gap."""

    @abstractmethod
    def take_findings(self) -> list[str]:
        """Return what was wrong with entries since the last call."""
