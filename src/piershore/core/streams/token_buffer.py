"""The tokens of one generation that a reader may still request."""

from __future__ import annotations

from collections import deque
from itertools import islice

from piershore.core.streams.exceptions import TokenGapError, WindowPassedError


class TokenBuffer:
    """Keeps the last `capacity` tokens, numbered from 0 by the engine."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._tokens: deque[str] = deque()
        self._first = 0

    @property
    def next_index(self) -> int:
        """Index of the next token expected from the engine."""
        return self._first + len(self._tokens)

    def append(self, first_index: int, tokens: tuple[str, ...]) -> int:
        """Append the tokens that are new and return their number.

        Raise `TokenGapError` if tokens are missing before them.
        """
        expected = self.next_index
        if first_index > expected:
            raise TokenGapError(f"token {expected} is missing before {first_index}")
        new = tokens[expected - first_index :]
        self._tokens.extend(new)
        while len(self._tokens) > self._capacity:
            self._tokens.popleft()
            self._first += 1
        return len(new)

    def read(self, index: int, limit: int) -> tuple[str, ...]:
        """Return up to `limit` tokens from `index` on.

        Raise `WindowPassedError` if `index` isn't kept.
        """
        if index < self._first or index > self.next_index:
            raise WindowPassedError(f"token {index} isn't kept")
        offset = index - self._first
        if offset == len(self._tokens):
            return ()
        return tuple(islice(self._tokens, offset, offset + limit))
