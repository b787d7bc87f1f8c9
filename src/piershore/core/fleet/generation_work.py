"""A generation in flight and the memory it holds."""

from __future__ import annotations

from dataclasses import dataclass, field

from piershore.core.fleet.endpoint_load import EndpointLoad
from piershore.core.fleet.length_estimate import (
    LengthEstimate,
    LengthExpectation,
    MeanLength,
)

LONG_TOKENS = 100
"""A generation that can produce at most this many more tokens ends soon: at about 10 ms
per token, within the shortest notice and before it takes memory from others."""


@dataclass(frozen=True)
class GenerationSize:
    """The size of a generation in tokens, as stated by its request.

    `hinted_tokens` is the caller's estimate of the output, correct in the median.
    """

    prompt_tokens: int
    max_output_tokens: int
    hinted_tokens: int | None = None


@dataclass
class GenerationWork:
    """The progress of one generation and the expected length of its output."""

    size: GenerationSize
    estimate: LengthEstimate
    expectation: LengthExpectation = field(default_factory=MeanLength)
    made_tokens: int = 0
    has_begun: bool = False
    _remaining: tuple[int, int] | None = None

    @property
    def held_tokens(self) -> int:
        """Memory in use now, in tokens."""
        return self.size.prompt_tokens + self.made_tokens

    @property
    def remaining_tokens(self) -> int:
        """Expected output that remains.

        The value is cached until more output arrives, since every placement needs it.
        """
        if self._remaining is None or self._remaining[0] != self.made_tokens:
            tokens = self.expectation.remaining(self.estimate, self.made_tokens)
            self._remaining = self.made_tokens, round(tokens)
        return self._remaining[1]

    @property
    def max_remaining_tokens(self) -> int:
        """Upper bound of the output that remains."""
        return max(0, self.size.max_output_tokens - self.made_tokens)

    @property
    def is_long(self) -> bool:
        """Whether the generation may still run for long."""
        return self.max_remaining_tokens > LONG_TOKENS

    def load(self) -> EndpointLoad:
        """Return the generation's contribution to an endpoint's load."""
        return EndpointLoad(
            requests=1,
            held_tokens=self.held_tokens,
            projected_tokens=self.held_tokens + self.remaining_tokens,
            pending_prompt_tokens=0 if self.has_begun else self.size.prompt_tokens,
        )
