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
    on_close: Callable[[str], None],
) -> StreamReader[ConfigBatch]:
    """Return a reader for the configuration stream of the gateway at `address`."""
    return StreamReader(
        address,
        lambda channel: PeerStub(channel).Follow(request),
        on_batch,
        on_close,
    )


def fetch_report(address: str) -> ReportReply | None:
    """Return the reports of a gateway and its agents, or None on failure; blocks."""
    with grpc.insecure_channel(address, options=CHANNEL_OPTIONS) as channel:
        try:
            return PeerStub(channel).Report(
                ReportRequest(), timeout=CALL_TIMEOUT_SECONDS
            )
        except grpc.RpcError:
            return None


def offer_batch(address: str, batch: ConfigBatch) -> bool:
    """Offer an accepted edit to a gateway; return whether it took it over; blocks."""
    with grpc.insecure_channel(address, options=CHANNEL_OPTIONS) as channel:
        try:
            PeerStub(channel).Offer(batch, timeout=CALL_TIMEOUT_SECONDS)
        except grpc.RpcError:
            return False
        return True
