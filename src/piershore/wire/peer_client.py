"""Calls from one gateway to another."""

from __future__ import annotations

from collections.abc import Callable

import grpc

from piershore.wire.channel_options import CHANNEL_OPTIONS
from piershore.wire.link_pb2 import (
    ConfigBatch,
    FollowRequest,
    ReportReply,
    ReportRequest,
)
from piershore.wire.link_pb2_grpc import PeerStub
from piershore.wire.stream_reader import StreamReader

CALL_TIMEOUT_SECONDS = 2.0


def follow_peer(
    address: str,
    request: FollowRequest,
    on_batch: Callable[[ConfigBatch], None],
    on_close: Callable[[], None],
) -> StreamReader[ConfigBatch]:
    """Return a stream of configuration from the gateway at `address`."""
    return StreamReader(
        address,
        lambda channel: PeerStub(channel).Follow(request),
        on_batch,
        on_close,
    )


def fetch_report(address: str) -> ReportReply | None:
    """Ask a gateway for its boxes' reports; blocks; None if it can't be had."""
    with grpc.insecure_channel(address, options=CHANNEL_OPTIONS) as channel:
        try:
            return PeerStub(channel).Report(
                ReportRequest(), timeout=CALL_TIMEOUT_SECONDS
            )
        except grpc.RpcError:
            return None


def offer_batch(address: str, batch: ConfigBatch) -> bool:
    """Hand a gateway an accepted edit; blocks; tell whether it has taken it."""
    with grpc.insecure_channel(address, options=CHANNEL_OPTIONS) as channel:
        try:
            PeerStub(channel).Offer(batch, timeout=CALL_TIMEOUT_SECONDS)
        except grpc.RpcError:
            return False
        return True
