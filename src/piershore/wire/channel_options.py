"""gRPC options of all channels and servers."""

from __future__ import annotations

KEEPALIVE_MILLISECONDS = 2_000
MAX_FRAME_BYTES = 16 * 1024 * 1024

CHANNEL_OPTIONS = (
    ("grpc.keepalive_time_ms", KEEPALIVE_MILLISECONDS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_MILLISECONDS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_MILLISECONDS // 2),
    ("grpc.max_receive_message_length", MAX_FRAME_BYTES),
    ("grpc.max_send_message_length", MAX_FRAME_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
)
