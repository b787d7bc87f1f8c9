"""Sends tokens to readers, in one frame per link and flush interval."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping

import trio

from piershore.core.streams.generation import Generation
from piershore.wire.link_pb2 import AgentFrame, Ended, StreamTokens, TokenBatch


class StreamSender:
    """Sends pending tokens and ends of generations to their readers.

    `interval` is in seconds; an explicit flush doesn't wait for it.
    """

    def __init__(
        self,
        generations: Mapping[str, Generation],
        interval: float,
        send: Callable[[int, AgentFrame], None],
    ) -> None:
        self._generations = generations
        self._interval = interval
        self._send = send
        self._pending: set[str] = set()
        self._wake = trio.Event()

    async def run(self) -> None:
        """Flush marked generations at most once per interval, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            self.flush()
            await trio.sleep(self._interval)

    def mark_pending(self, identity: str) -> None:
        """Mark a generation that may have tokens or its end to send."""
        self._pending.add(identity)
        self._wake.set()

    def flush(self) -> None:
        """Send what the marked generations have pending."""
        marked = [self._generations.get(identity) for identity in self._pending]
        self._pending.clear()
        present = [generation for generation in marked if generation is not None]
        self._send_tokens(present)
        for generation in present:
            if generation.is_fully_sent():
                self._send_end(generation)

    def _send_tokens(self, generations: list[Generation]) -> None:
        batches: dict[int, TokenBatch] = defaultdict(TokenBatch)
        for generation in generations:
            segment = generation.send()
            if segment is None:
                continue
            tokens = StreamTokens(
                request=segment.reader.request,
                first_index=segment.first_index,
                tokens=segment.tokens,
            )
            batches[segment.reader.link].streams.append(tokens)
        for link, batch in batches.items():
            self._send(link, AgentFrame(tokens=batch))

    def _send_end(self, generation: Generation) -> None:
        reader = generation.reader
        ended = Ended(
            request=reader.request,
            reason=generation.ending.reason or "",
            next_index=generation.next_index,
        )
        self._send(reader.link, AgentFrame(ended=ended))
