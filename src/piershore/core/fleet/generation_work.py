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
"""A generation that can make at most this many more tokens ends soon: at some 10 ms a
token, within the shortest notice and before it crowds anybody."""


@dataclass(frozen=True)
class GenerationSize:
    """What a request says of its size, in tokens.

    `hinted_tokens` is the caller's guess of the output, right in the median.
    """

    prompt_tokens: int
    max_output_tokens: int
    hinted_tokens: int | None = None


@dataclass
class GenerationWork:
    """Progress of one generation, and what its output is expected to be."""

    size: GenerationSize
    estimate: LengthEstimate
    expectation: LengthExpectation = field(default_factory=MeanLength)
    made_tokens: int = 0
    has_begun: bool = False
    _remaining: tuple[int, int] | None = None

    @property
    def held_tokens(self) -> int:
        """Memory that it holds now."""
        return self.size.prompt_tokens + self.made_tokens

    @property
    def remaining_tokens(self) -> int:
        """Output still to come, as far as can be told.

        It is asked for at each choice, and worked out once for each part that came.
        """
        if self._remaining is None or self._remaining[0] != self.made_tokens:
            tokens = self.expectation.remaining(self.estimate, self.made_tokens)
            self._remaining = self.made_tokens, round(tokens)
        return self._remaining[1]

    @property
    def most_remaining_tokens(self) -> int:
        """Output that can still come at the most."""
        return max(0, self.size.max_output_tokens - self.made_tokens)

    @property
    def is_long(self) -> bool:
        """Whether it may go on for long."""
        return self.most_remaining_tokens > LONG_TOKENS

    def load(self) -> EndpointLoad:
        """Return its part of an endpoint's load."""
        return EndpointLoad(
            requests=1,
            held_tokens=self.held_tokens,
            projected_tokens=self.held_tokens + self.remaining_tokens,
            unread_tokens=0 if self.has_begun else self.size.prompt_tokens,
        )
