"""Interfaces that the platform's adapter implements for the gateway."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from piershore.core.documents.document import Document, DocumentChunk
from piershore.core.fleet.drained_halls import DrainedHalls
from piershore.core.fleet.endpoint import Address, Endpoint
from piershore.core.fleet.endpoint_notice import EndpointNotice
from piershore.core.fleet.generation_work import GenerationSize
from piershore.core.fleet.store_revision import StoreRevision
from piershore.core.routes.partial_configuration import PartialConfiguration
from piershore.core.routes.serving_configuration import (
    AccountRef,
    ServingConfiguration,
)
from piershore.core.streams.silence import EndpointReport
from piershore.http1.client_connection import ClientConnection
from piershore.http1.message import Headers, RequestHead, ResponseHead


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request as decoded from its head.

    `time_left` is how many seconds the caller waits, if the request says so.
    `shared_parts` are the ids of the parts of a prompt that other prompts may have too,
    in their order: all but the last one.
    """

    head: RequestHead
    identity: str
    time_left: float | None
    key: str | None
    size: GenerationSize | None
    model: str = ""
    shared_parts: tuple[str, ...] = ()


@dataclass(frozen=True)
class MemoryCopy:
    """The location of a copy of a generation's memory: its name at its holder."""

    holder: Address
    name: str


@dataclass(frozen=True)
class ForwardingOptions:
    """What the gateway adds to a request that it forwards; times are in seconds."""

    time_left: float
    account: AccountRef | None
    priority: int | None = None
    continue_from: MemoryCopy | None = None
    last_event_id: str | None = None
    back_up_at: Address | None = None


@dataclass(frozen=True)
class EndpointAnswer:
    """What the head of an endpoint's answer says about the request.

    `is_valid` is whether the answer may be forwarded as the endpoint's own.
    """

    status: int
    was_not_run: bool
    is_wrong_instance: bool
    is_valid: bool

    @property
    def is_success(self) -> bool:
        """Whether the endpoint served the request."""
        return self.is_valid and 200 <= self.status < 300


@dataclass(frozen=True)
class MoveResult:
    """The copy that a move made."""

    copy: MemoryCopy


class StopOutcome(StrEnum):
    """What came of the order to stop a run.

    `STOPPED`: it was stopped. `NO_RUN`: the endpoint doesn't run it. `GONE`: the
    endpoint has ended. `REFUSED`: it goes on. `UNANSWERED`: the endpoint couldn't be
    reached, or the connection broke before its answer.
    """

    STOPPED = "stopped"
    NO_RUN = "no_run"
    GONE = "gone"
    REFUSED = "refused"
    UNANSWERED = "unanswered"

    @property
    def is_over(self) -> bool:
        """Whether the endpoint certainly doesn't work on the run any more."""
        return self in (StopOutcome.STOPPED, StopOutcome.NO_RUN, StopOutcome.GONE)


@dataclass(frozen=True)
class StopResult:
    """The outcome, and the copy of the run's memory if one is named."""

    outcome: StopOutcome
    copy: MemoryCopy | None = None


class RequestDialect(ABC):
    """Decodes and encodes the heads of requests and answers."""

    @abstractmethod
    def read_request(self, head: RequestHead) -> CallerRequest:
        """Decode a caller's request; raise `BadRequestError` if it is malformed."""

    @abstractmethod
    def build_forwarded_head(
        self,
        request: CallerRequest,
        body_length: int,
        endpoint: Endpoint,
        options: ForwardingOptions,
    ) -> RequestHead:
        """Return the head of the request to the endpoint."""

    @abstractmethod
    def is_answer_to(self, request: CallerRequest, head: ResponseHead) -> bool:
        """Return whether an answer belongs to this request and to no other."""

    @abstractmethod
    def read_answer(self, head: ResponseHead) -> EndpointAnswer:
        """Decode the head of an endpoint's answer."""

    @abstractmethod
    def read_notice(self, head: ResponseHead) -> EndpointNotice:
        """Decode the notice of an endpoint that accompanies its answer."""

    @abstractmethod
    def forwarded_answer_headers(self, head: ResponseHead) -> Headers:
        """Return those of the endpoint's headers that are forwarded to the caller."""

    @abstractmethod
    def gateway_answer_headers(
        self, request: CallerRequest | None, retry_after: float | None
    ) -> Headers:
        """Return the headers of an answer that the gateway generates itself."""


class GenerationMover(ABC):
    """Copies a running generation's memory from one engine to another."""

    @abstractmethod
    async def move(
        self,
        connection: ClientConnection,
        source: Address,
        request_id: str,
        target: Address,
    ) -> MoveResult | None:
        """Copy the memory that is new, while the run goes on.

        Return None if the generation can't be moved. Raise `ExchangeBrokenError`.
        """

    @abstractmethod
    async def send_stop(
        self,
        connection: ClientConnection,
        source: Address,
        request_id: str,
        target: Address,
    ) -> None:
        """Order to stop a run and to copy its memory; raise `ExchangeBrokenError`.

        The run stops as the order arrives.
        """

    @abstractmethod
    async def read_stop_result(
        self, connection: ClientConnection, source: Address
    ) -> StopResult:
        """Read the answer to `send_stop`; raise `ExchangeBrokenError`.

        An engine that stops a run answers when its memory is copied.
        """

    @abstractmethod
    async def release(self, connection: ClientConnection, copy: MemoryCopy) -> None:
        """Free a copy that will not be used."""


class EndpointProber(ABC):
    """Probes endpoints for reports about themselves."""

    @abstractmethod
    async def probe(
        self, connection: ClientConnection, address: Address
    ) -> EndpointReport:
        """Request an endpoint's report; raise `ExchangeBrokenError`."""


@dataclass(frozen=True)
class EndpointChange:
    """An endpoint that was added or changed.

    `endpoint` is None if its entry was removed or can't be read.
    """

    name: str
    endpoint: Endpoint | None


class StoreFeed(ABC):
    """A watched part of the platform's store.

    Reads raise `PlatformUnavailableError` if the store doesn't answer.
    """

    @property
    @abstractmethod
    def last_received_at(self) -> float:
        """When bytes of an answer were last received, by trio's clock."""

    @abstractmethod
    def pop_era_finding(self) -> str:
        """Return what was wrong with the era of answers, each fault only once."""

    @abstractmethod
    async def close(self) -> None:
        """Close connections."""


class ConfigurationFeed(StoreFeed):
    """The operators' configuration; raises `InvalidObjectError` if it is invalid."""

    @abstractmethod
    async def read(self) -> tuple[Document | None, StoreRevision]:
        """Return the newest document, if there is one, and the revision."""

    @abstractmethod
    async def changes(
        self, revision: StoreRevision, wait: float
    ) -> tuple[Document | None, StoreRevision]:
        """Wait for a newer document; raise `WatchGapError` after a gap."""

    @abstractmethod
    def decode_chunk(self, part: DocumentChunk) -> PartialConfiguration:
        """Decode one chunk of a document."""

    @abstractmethod
    def join(self, pieces: Iterable[PartialConfiguration]) -> ServingConfiguration:
        """Join the decoded chunks of a complete document."""


class DrainFeed(StoreFeed):
    """The drained data halls, which get no new work."""

    @abstractmethod
    async def read(self) -> DrainedHalls:
        """Return the drained data halls."""

    @abstractmethod
    async def changes(self, revision: StoreRevision, wait: float) -> DrainedHalls:
        """Wait for changes; raise `WatchGapError` after a gap."""

    @abstractmethod
    def resume_from(self, drained: DrainedHalls) -> None:
        """Continue from the view of a peer, to watch for later changes."""


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
    def pop_findings(self) -> list[str]:
        """Return the errors found in entries since the last call."""
