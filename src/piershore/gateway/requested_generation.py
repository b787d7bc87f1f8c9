"""A generation as requested by a caller, and the tokens returned to it."""

from __future__ import annotations

from dataclasses import dataclass

from piershore.core.attempts.request_digest import request_digest
from piershore.core.quarantine.request_fingerprint import RequestFingerprint
from piershore.core.quarantine.request_traits import request_traits


@dataclass(frozen=True)
class RequestedGeneration:
    """One caller's request for a generation.

    `first_token_timeout_seconds` bounds the time to the first token; 0 sets no limit.
    `shared_parts` are the parts of the prompt that others may have too, as digests.
    """

    account: str
    service: str
    kind: str
    priority: int
    prompt: str
    max_tokens: int
    first_token_timeout_seconds: float = 0.0
    shared_parts: tuple[str, ...] = ()

    @property
    def fingerprint(self) -> RequestFingerprint:
        """What the request is recognized by when it, or one like it, is sent again."""
        traits = request_traits(self.account, self.service, self.shared_parts)
        return RequestFingerprint(self.content, traits)

    @property
    def content(self) -> str:
        """Digest that identifies the request when its caller retries it."""
        target = f"{self.service}/{self.kind}/{self.max_tokens}"
        return request_digest(self.account, target.encode(), self.prompt.encode())


@dataclass(frozen=True)
class TokenChunk:
    """Tokens for the caller, and the id from which the stream resumes after them."""

    tokens: tuple[str, ...]
    event_id: str
