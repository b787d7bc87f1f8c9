"""Interfaces to external systems; adapters and stand-ins pass their contract tests."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import StrEnum

from piershore.core.configuration.stored_object import (
    ObjectName,
    Snapshot,
    StoredObject,
)
from piershore.core.ownership.claim import Answer


class BoxRole(StrEnum):
    """The process that a box runs."""

    GATEWAY = "gateway"
    AGENT = "agent"


class BoxState(StrEnum):
    """State of a box as the platform reports it, with a delay."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Box:
    """A box on the platform's list; `peer_address` is host:port."""

    name: str
    role: BoxRole
    data_hall: str
    peer_address: str
    state: BoxState


@dataclass(frozen=True)
class GenerationRequest:
    """A generation that is requested from the engine."""

    identity: str
    prompt: str
    max_tokens: int
    priority: int


@dataclass(frozen=True)
class EngineTokens:
    """Tokens as the engine streams them, the first at `first_index`."""

    first_index: int
    tokens: tuple[str, ...]


@dataclass(frozen=True)
class EngineLoad:
    """The engine's own load report, which is slightly stale."""

    capacity_tokens: int
    used_tokens: int
    running: int
    preemptions: int


@dataclass(frozen=True)
class CacheEvent:
    """A prompt prefix was added to the engine's cache or evicted from it.

    Events arrive with a delay; a missing number means that an event was lost.
    """

    number: int
    prefix: str
    cached: bool


class PlatformStore(ABC):
    """The platform's object API: versions, conditional updates and watches.

    The store may be restored from an older copy of itself, in a later era. Versions and
    revisions contain their era (`StoreRevision`), so that their order stays correct.
    """

    @property
    @abstractmethod
    def era(self) -> int:
        """The store's era according to its answers so far."""

    @abstractmethod
    async def get(self, name: ObjectName) -> StoredObject | None:
        """Read one object; the answer may be stale."""

    @abstractmethod
    async def list(self) -> Snapshot:
        """Read all configuration objects; the answer may be stale."""

    @abstractmethod
    async def put(
        self, name: ObjectName, value: bytes | None, version: int, write_id: str
    ) -> StoredObject:
        """Write if the object's version is still `version` (0: must not exist).

        `value` None deletes. Raise `StaleVersionError` with the current object,
        or `WriteUncertainError` if it is unknown whether the write took effect.
        """

    @abstractmethod
    async def restore(self, lost: StoredObject, version: int, write_id: str) -> None:
        """Write a lost object again, with the version under which it was accepted.

        `version` is the one that the store has now (0: none). Raise the same errors
        as `put`.
        """

    @abstractmethod
    def watch(self, revision: int) -> AsyncIterator[StoredObject | int]:
        """Yield configuration changes after `revision`, and each revision reached.

        Raise `WatchGapError` when changes were missed.
        """


class BoxList(ABC):
    """The platform's list of live and leaving boxes, which lags behind."""

    @abstractmethod
    async def boxes(self) -> tuple[Box, ...]:
        """Return the boxes that the platform knows of."""


class EngineClient(ABC):
    """A model engine that batches continuously."""

    @abstractmethod
    def generate(self, request: GenerationRequest) -> AsyncIterator[EngineTokens]:
        """Start a generation and stream its tokens until it is complete.

        Raise `EngineBackoffError` if the engine refuses it and requests a backoff.
        """

    @abstractmethod
    def resume(self, identity: str, index: int) -> AsyncIterator[EngineTokens]:
        """Stream a running generation again from `index` on."""

    @abstractmethod
    async def cancel(self, identity: str) -> None:
        """Stop a generation and free its memory."""

    @abstractmethod
    async def load(self) -> EngineLoad:
        """Return the engine's last load report."""

    @abstractmethod
    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a number; hints only."""


class ServiceClient(ABC):
    """A plain service."""

    @abstractmethod
    async def call(self, key: str, kind: str, body: bytes) -> Answer:
        """Execute one call.

        Raise `CallNotSentError` if nothing reached the service, and
        `CallOutcomeUnknownError` if it is unknown whether the call was executed.
        """


class WeightStore(ABC):
    """The platform's rate-limited store of model weights."""

    @abstractmethod
    async def fetch(self, name: str) -> bytes:
        """Return the named weights."""
