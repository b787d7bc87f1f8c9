"""Reads a gRPC stream in a thread and passes its frames to trio."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from threading import Thread
from typing import Generic, TypeVar

import grpc
import trio

from piershore.wire.channel_options import CHANNEL_OPTIONS

Frame = TypeVar("Frame")


class StreamReader(Generic[Frame]):
    """One stream to one address; create a new object to reconnect.

    `on_frame` and `on_close` are called in the trio thread; `on_close` gets the cause.
    """

    def __init__(
        self,
        address: str,
        open_call: Callable[[grpc.Channel], Iterable[Frame]],
        on_frame: Callable[[Frame], None],
        on_close: Callable[[str], None],
    ) -> None:
        self._channel = grpc.insecure_channel(address, options=CHANNEL_OPTIONS)
        self._open_call = open_call
        self._on_frame = on_frame
        self._on_close = on_close
        self._call: Iterable[Frame] | None = None
        self._trio_token: trio.lowlevel.TrioToken | None = None

    def start(self) -> None:
        """Open the stream and read it in a thread."""
        self._trio_token = trio.lowlevel.current_trio_token()
        self._call = self._open_call(self._channel)
        Thread(target=self._read_frames, name="stream-reader", daemon=True).start()

    def close(self) -> None:
        """Cancel the stream and close the channel."""
        if self._call is not None:
            self._call.cancel()
        self._channel.close()

    def _read_frames(self) -> None:
        cause = "ended by the peer"
        try:
            try:
                for frame in self._call:
                    self._trio_token.run_sync_soon(self._on_frame, frame)
            except grpc.RpcError as error:
                cause = f"{error.code().name.lower()}: {error.details()}"
            self._trio_token.run_sync_soon(self._on_close, cause)
        except trio.RunFinishedError:
            # The process ends.
            return
