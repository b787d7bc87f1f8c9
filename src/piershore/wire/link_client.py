"""The gateway's side of the stream to one agent."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import grpc

from piershore.wire.frame_queue import FrameQueue
from piershore.wire.link_pb2 import AgentFrame, GatewayFrame
from piershore.wire.link_pb2_grpc import LinkStub
from piershore.wire.stream_reader import StreamReader


class LinkClient:
    """One attempt to connect to an agent; create a new object to reconnect."""

    def __init__(
        self,
        address: str,
        on_frame: Callable[[AgentFrame], None],
        on_close: Callable[[str], None],
    ) -> None:
        self._frames: FrameQueue[GatewayFrame] = FrameQueue()
        self._reader = StreamReader(address, self._connect, on_frame, on_close)

    def start(self) -> None:
        """Open the stream."""
        self._reader.start()

    def send(self, frame: GatewayFrame) -> None:
        """Send a frame; never blocks."""
        self._frames.put(frame)

    def close(self) -> None:
        """Cancel the stream and close the channel."""
        self._frames.close()
        self._reader.close()

    def _connect(self, channel: grpc.Channel) -> Iterable[AgentFrame]:
        return LinkStub(channel).Connect(iter(self._frames))
