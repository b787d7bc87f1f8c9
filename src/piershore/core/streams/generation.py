"""One generation at the agent: its tokens, its reader and its end.

The model `model/stream.pml` has the steps `attach`, `append`, `send`, `acknowledge`
and `end`; the methods here have the same names.
"""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.refusal_reason import RefusalReason
from piershore.core.streams.token_buffer import TokenBuffer

WINDOW_TOKENS = 512


@dataclass(frozen=True)
class Ending:
    """The end of a generation; `reason` is None if it is complete."""

    reason: RefusalReason | None = None


@dataclass(frozen=True)
class Reader:
    """One attachment of a gateway; a newer epoch supersedes an older one."""

    link: int
    request: int
    epoch: int


@dataclass(frozen=True)
class Segment:
    """Tokens to be sent to the reader, the first at `first_index`."""

    reader: Reader
    first_index: int
    tokens: tuple[str, ...]


class Generation:
    """State of one generation; times are monotonic seconds."""

    def __init__(
        self, identity: str, account: str, retained_tokens: int, now: float
    ) -> None:
        self._identity = identity
        self._account = account
        self._buffer = TokenBuffer(retained_tokens)
        self._reader: Reader | None = None
        self._epoch = 0
        self._sent = 0
        self._acknowledged = 0
        self._ending: Ending | None = None
        self._reader_left_at: float | None = now
        self._last_token_at = now

    @property
    def identity(self) -> str:
        """Unguessable identifier of the generation."""
        return self._identity

    @property
    def account(self) -> str:
        """Client account that may read the generation."""
        return self._account

    @property
    def next_index(self) -> int:
        """Index of the next token expected from the engine."""
        return self._buffer.next_index

    @property
    def reader(self) -> Reader | None:
        """The reader attached last, if it is still attached."""
        return self._reader

    @property
    def ending(self) -> Ending | None:
        """How the generation ended, or None while it runs."""
        return self._ending

    @property
    def last_token_at(self) -> float:
        """When the engine last made progress."""
        return self._last_token_at

    def attach(self, link: int, request: int, index: int) -> Reader | None:
        """Let a reader read from `index`; return the reader that it supersedes.

        Raise `WindowPassedError`, and change nothing, if `index` isn't kept.
        """
        self._buffer.read(index, 0)
        superseded = self._reader
        self._epoch += 1
        self._reader = Reader(link, request, self._epoch)
        self._sent = index
        self._acknowledged = index
        self._reader_left_at = None
        return superseded

    def detach(self, link: int, request: int, now: float) -> None:
        """Detach the reader of this link and request, if it is still attached."""
        if self._is_current(link, request):
            self._reader = None
            self._reader_left_at = now

    def append(self, first_index: int, tokens: tuple[str, ...], now: float) -> int:
        """Append tokens from the engine; return how many were new."""
        new = self._buffer.append(first_index, tokens)
        if new:
            self._last_token_at = now
        return new

    def acknowledge(self, link: int, request: int, index: int) -> None:
        """Record that the reader has forwarded all tokens before `index`."""
        if self._is_current(link, request):
            self._acknowledged = max(self._acknowledged, min(index, self._sent))

    def send(self) -> Segment | None:
        """Return the tokens that the window allows to send now, if any."""
        if self._reader is None:
            return None
        capacity = self._acknowledged + WINDOW_TOKENS - self._sent
        tokens = self._buffer.read(self._sent, capacity) if capacity > 0 else ()
        if not tokens:
            return None
        segment = Segment(self._reader, self._sent, tokens)
        self._sent += len(tokens)
        return segment

    def end(self, ending: Ending) -> None:
        """Record the end; only the first one counts."""
        if self._ending is None:
            self._ending = ending

    def is_fully_sent(self) -> bool:
        """Return whether the generation has ended and the reader has all tokens."""
        ended = self._ending is not None
        return ended and self._reader is not None and self._sent == self.next_index

    def is_abandoned(self, now: float, grace: float) -> bool:
        """Return whether no reader has been attached for `grace` seconds."""
        left_at = self._reader_left_at
        return left_at is not None and now - left_at > grace

    def _is_current(self, link: int, request: int) -> bool:
        reader = self._reader
        return reader is not None and (reader.link, reader.request) == (link, request)
