"""The agent's side of the streams that gateways open.

Blocking gRPC runs on its own threads, which pass events to trio with the token's
`run_sync_soon`; docs/design/grpc-under-trio.md has the measurements behind this.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from itertools import count
from threading import Thread

import grpc
import trio

from piershore.wire.channel_options import CHANNEL_OPTIONS
from piershore.wire.frame_queue import FrameQueue
from piershore.wire.link_pb2 import AgentFrame, GatewayFrame
from piershore.wire.link_pb2_grpc import add_LinkServicer_to_server, LinkServicer

MAX_LINKS = 64
CLOSE_GRACE_SECONDS = 2.0


class LinkHandler(ABC):
    """Handles events of links; always called in the trio thread."""

    @abstractmethod
    def link_opened(self, link: int, frames: FrameQueue[AgentFrame]) -> None:
        """Handle a new link; frames put into `frames` are sent on it."""

    @abstractmethod
    def frame_received(self, link: int, frame: GatewayFrame) -> None:
        """Handle one received frame."""

    @abstractmethod
    def link_closed(self, link: int) -> None:
        """Handle the end of a link."""


class LinkServer(LinkServicer):
    """Serves `Link.Connect` at one address."""

    def __init__(self, address: str, handler: LinkHandler) -> None:
        self._address = address
        self._handler = handler
        self._link_ids = count(1)
        self._server: grpc.Server | None = None
        self._trio_token: trio.lowlevel.TrioToken | None = None

    def start(self) -> int:
        """Start to listen and return the port."""
        self._trio_token = trio.lowlevel.current_trio_token()
        self._server = grpc.server(
            ThreadPoolExecutor(MAX_LINKS, thread_name_prefix="link"),
            options=CHANNEL_OPTIONS,
        )
        add_LinkServicer_to_server(self, self._server)
        port = self._server.add_insecure_port(self._address)
        self._server.start()
        return port

    def close(self) -> None:
        """Stop listening; give links that were closed time to send their frames."""
        if self._server is not None:
            self._server.stop(grace=CLOSE_GRACE_SECONDS).wait()

    def Connect(  # noqa: N802 - required by the generated code
        self, request_iterator: Iterator[GatewayFrame], context: grpc.ServicerContext
    ) -> Iterator[AgentFrame]:
        """Serve one stream; runs in a gRPC thread."""
        link = next(self._link_ids)
        frames: FrameQueue[AgentFrame] = FrameQueue()
        context.add_callback(frames.close)
        self._run_in_trio(self._handler.link_opened, link, frames)
        reader = Thread(
            target=self._read_frames,
            args=(link, request_iterator, frames),
            name="link-reader",
            daemon=True,
        )
        reader.start()
        try:
            yield from frames
        finally:
            self._run_in_trio(self._handler.link_closed, link)

    def _read_frames(
        self,
        link: int,
        received: Iterator[GatewayFrame],
        outgoing: FrameQueue[AgentFrame],
    ) -> None:
        # gRPC raises a bare Exception when the stream breaks.
        with suppress(Exception):
            for frame in received:
                self._run_in_trio(self._handler.frame_received, link, frame)
        outgoing.close()

    def _run_in_trio(self, function: Callable[..., None], *arguments: object) -> None:
        with suppress(trio.RunFinishedError):
            self._trio_token.run_sync_soon(function, *arguments)
