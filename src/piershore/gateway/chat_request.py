"""Bodies of `POST /v1/chat/completions` and `POST /v1/call/{service}`."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from piershore.core.attempts.request_digest import request_digest

ROLES = ("system", "user", "assistant", "tool")
DEFAULT_KIND = "default"
MAX_ANSWER_TOKENS = 131_072


@dataclass(frozen=True)
class ChatMessage:
    """One message of the conversation."""

    role: str
    content: str

    def __post_init__(self) -> None:
        if self.role not in ROLES:
            raise ValueError(f"role is one of {', '.join(ROLES)}")


@dataclass(frozen=True)
class ChatMetadata:
    """Metadata given by the caller; `kind` selects the priority of the request."""

    kind: str = DEFAULT_KIND


@dataclass(frozen=True)
class ChatRequest:
    """The body of `POST /v1/chat/completions`; `model` names a service.

    `deadline_ms` bounds the time until the first token, in milliseconds.
    """

    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    deadline_ms: int | None = None
    user: str | None = None
    metadata: ChatMetadata = field(default_factory=ChatMetadata)

    def __post_init__(self) -> None:
        if not self.messages:
            raise ValueError("messages must not be empty")
        for limit in (self.max_tokens, self.max_completion_tokens):
            if limit is not None and not 1 <= limit <= MAX_ANSWER_TOKENS:
                raise ValueError(f"max_tokens lies in 1..{MAX_ANSWER_TOKENS}")
        if self.deadline_ms is not None and self.deadline_ms < 1:
            raise ValueError("deadline_ms must be at least 1")

    @property
    def prompt(self) -> str:
        """All messages of the conversation as one text."""
        return "\n".join(f"{m.role}: {m.content}" for m in self.messages)

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Digests of all messages but the last, which is the request's own."""
        return tuple(
            request_digest("", message.role.encode(), message.content.encode())
            for message in self.messages[:-1]
        )

    @property
    def max_answer_tokens(self) -> int | None:
        """The maximum length of the answer in tokens, if the caller sets one."""
        return self.max_completion_tokens or self.max_tokens


@dataclass(frozen=True)
class CallRequest:
    """The body of `POST /v1/call/{service}`; `arguments` are passed to the service."""

    kind: str
    arguments: dict[str, Any] = field(default_factory=dict)
