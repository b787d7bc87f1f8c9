"""The gRPC service that a gateway offers to other gateways."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

import grpc
import trio

from piershore.wire.channel_options import CHANNEL_OPTIONS
from piershore.wire.frame_queue import FrameQueue
from piershore.wire.link_pb2 import (
    ConfigBatch,
    FollowRequest,
    OfferReply,
    ReportReply,
    ReportRequest,
)
from piershore.wire.link_pb2_grpc import add_PeerServicer_to_server, PeerServicer

MAX_CALLS = 128


class PeerHandler(ABC):
    """Handles calls of other gateways; always called in the trio thread."""

    @abstractmethod
    def follower_joined(
        self, request: FollowRequest, batches: FrameQueue[ConfigBatch]
    ) -> None:
        """Send a new follower the changes that it lacks, then each later change."""

    @abstractmethod
    def follower_left(self, batches: FrameQueue[ConfigBatch]) -> None:
        """Handle the end of a follower's stream."""

    @abstractmethod
    def receive_offer(self, batch: ConfigBatch) -> None:
        """Take over an edit that the store has accepted from another gateway."""

    @abstractmethod
    def report(self) -> ReportReply:
        """Return the reports of this gateway and its agents."""


class PeerServer(PeerServicer):
    """Serves `Peer` at one address."""

    def __init__(self, address: str, handler: PeerHandler) -> None:
        self._address = address
        self._handler = handler
        self._server: grpc.Server | None = None
        self._trio_token: trio.lowlevel.TrioToken | None = None

    def start(self) -> None:
        """Start to listen."""
        self._trio_token = trio.lowlevel.current_trio_token()
        self._server = grpc.server(
            ThreadPoolExecutor(MAX_CALLS, thread_name_prefix="peer"),
            options=CHANNEL_OPTIONS,
        )
        add_PeerServicer_to_server(self, self._server)
        self._server.add_insecure_port(self._address)
        self._server.start()

    def close(self) -> None:
        """Stop listening and cancel the streams."""
        if self._server is not None:
            self._server.stop(grace=None).wait()

    def Follow(  # noqa: N802 - required by the generated code
        self, request: FollowRequest, context: grpc.ServicerContext
    ) -> Iterator[ConfigBatch]:
        """Serve one follower; runs in a gRPC thread."""
        batches: FrameQueue[ConfigBatch] = FrameQueue()
        context.add_callback(batches.close)
        with suppress(trio.RunFinishedError):
            self._trio_token.run_sync_soon(
                self._handler.follower_joined, request, batches
            )
            try:
                yield from batches
            finally:
                self._trio_token.run_sync_soon(self._handler.follower_left, batches)

    def Report(  # noqa: N802 - required by the generated code
        self, request: ReportRequest, context: grpc.ServicerContext
    ) -> ReportReply:
        """Return the reports; runs in a gRPC thread."""
        return trio.from_thread.run_sync(
            self._handler.report, trio_token=self._trio_token
        )

    def Offer(  # noqa: N802 - required by the generated code
        self, request: ConfigBatch, context: grpc.ServicerContext
    ) -> OfferReply:
        """Take over an accepted edit; runs in a gRPC thread."""
        trio.from_thread.run_sync(
            self._handler.receive_offer, request, trio_token=self._trio_token
        )
        return OfferReply()
