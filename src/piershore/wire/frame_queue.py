"""Outgoing frames of one stream, handed from trio to a gRPC thread."""

from __future__ import annotations

from collections.abc import Iterator
from queue import SimpleQueue
from typing import Generic, TypeVar

Frame = TypeVar("Frame")


class FrameQueue(Generic[Frame]):
    """A queue that a gRPC thread iterates until it is closed."""

    def __init__(self) -> None:
        self._frames: SimpleQueue[Frame | None] = SimpleQueue()

    def put(self, frame: Frame) -> None:
        """Send a frame; never blocks."""
        self._frames.put(frame)

    def close(self) -> None:
        """End the iteration after the frames put so far."""
        self._frames.put(None)

    def __iter__(self) -> Iterator[Frame]:
        while (frame := self._frames.get()) is not None:
            yield frame
