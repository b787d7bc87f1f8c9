"""The generations of an agent and the readers on its links."""

from __future__ import annotations

from collections.abc import Collection

import trio

from piershore.agent.refusals import Refusals, Send
from piershore.agent.stream_sender import StreamSender
from piershore.core.outcome import Outcome
from piershore.core.refusal_reason import RefusalReason
from piershore.core.streams.exceptions import WindowPassedError
from piershore.core.streams.generation import Generation, Reader
from piershore.telemetry import metrics
from piershore.wire.link_pb2 import Accepted, Acknowledge, AgentFrame, Attach, Ended


class GenerationReaders:
    """Sends each reader the tokens of its generation from the reader's index on."""

    def __init__(self, flush_interval: float, send: Send, refusals: Refusals) -> None:
        self._send = send
        self._refusals = refusals
        self._generations: dict[str, Generation] = {}
        self._identities: dict[tuple[int, int], str] = {}
        self._sender = StreamSender(self._generations, flush_interval, send)

    @property
    def generations(self) -> Collection[Generation]:
        """All generations, including ended ones that may still be read."""
        return self._generations.values()

    async def run(self) -> None:
        """Send tokens until cancelled."""
        await self._sender.run()

    def get(self, identity: str) -> Generation:
        """Return a generation that was added."""
        return self._generations[identity]

    def add(self, generation: Generation, link: int, request: int) -> None:
        """Add a new generation and its first reader."""
        generation.attach(link, request, 0)
        self._generations[generation.identity] = generation
        self._identities[link, request] = generation.identity

    def send_accepted(self, identity: str) -> None:
        """Send the reader a notice that its generation was accepted."""
        reader = self._generations[identity].reader
        if reader is not None:
            self._send(reader.link, _accepted(reader.request, identity))

    def attach(self, link: int, attach: Attach) -> None:
        """Attach a reader to a generation, starting at the reader's index.

        A reader that was attached before is sent its end. Refuse the request if the
        account has no such generation or no longer has the tokens at the index.
        """
        generation = self._generations.get(attach.generation)
        if generation is None or generation.account != attach.account:
            self._refusals.refuse(
                link,
                attach.request,
                RefusalReason.GENERATION_UNKNOWN,
                Outcome.UNKNOWN,
            )
            return
        try:
            superseded = generation.attach(link, attach.request, attach.index)
        except WindowPassedError:
            self._refusals.refuse(
                link, attach.request, RefusalReason.RESUME_WINDOW_PASSED, Outcome.RUN
            )
            return
        if superseded is not None:
            self._end_superseded(superseded)
        metrics.RESUMES.labels(by="reader").inc()
        self._identities[link, attach.request] = attach.generation
        self._send(link, _accepted(attach.request, attach.generation))
        self._sender.mark_pending(attach.generation)

    def acknowledge(self, link: int, message: Acknowledge) -> None:
        """Record how many tokens the reader has received."""
        identity = self._identities.get((link, message.request))
        if identity in self._generations:
            self._generations[identity].acknowledge(
                link, message.request, message.index
            )
            self._sender.mark_pending(identity)

    def detach(self, link: int, request: int) -> Generation | None:
        """Detach a reader; return its generation, or None if there is none."""
        identity = self._identities.pop((link, request), None)
        generation = self._generations.get(identity)
        if generation is not None:
            generation.detach(link, request, trio.current_time())
        return generation

    def link_closed(self, link: int) -> None:
        """Detach the readers of a closed link."""
        for key in [key for key in self._identities if key[0] == link]:
            self.detach(*key)

    def drop(self, identity: str) -> Reader | None:
        """Drop a generation and return its reader, if any."""
        reader = self._generations.pop(identity).reader
        if reader is not None:
            self._identities.pop((reader.link, reader.request), None)
        return reader

    def mark_pending(self, identity: str) -> None:
        """Mark a generation that may have tokens or its end to send."""
        self._sender.mark_pending(identity)

    def flush(self) -> None:
        """Send what is pending now, without waiting for the flush interval."""
        self._sender.flush()

    def _end_superseded(self, reader: Reader) -> None:
        self._identities.pop((reader.link, reader.request), None)
        ended = Ended(request=reader.request, reason=RefusalReason.SUPERSEDED_READER)
        self._send(reader.link, AgentFrame(ended=ended))


def _accepted(request: int, generation: str) -> AgentFrame:
    return AgentFrame(accepted=Accepted(request=request, generation=generation))
