"""Outgoing frames of one stream, passed from trio to a gRPC thread."""

from __future__ import annotations

from collections.abc import Iterator
from queue import SimpleQueue
from typing import Generic, TypeVar

Frame = TypeVar("Frame")


class FrameQueue(Generic[Frame]):
    """A queue that a gRPC thread iterates over until it is closed."""

    def __init__(self) -> None:
        self._frames: SimpleQueue[Frame | None] = SimpleQueue()

    def put(self, frame: Frame) -> None:
        """Enqueue a frame; never blocks."""
        self._frames.put(frame)

    def close(self) -> None:
        """End the iteration after the frames already enqueued."""
        self._frames.put(None)

    def __iter__(self) -> Iterator[Frame]:
        while (frame := self._frames.get()) is not None:
            yield frame
