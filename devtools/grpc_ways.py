"""Ways to run gRPC under trio: CPU time for each message, both ends here.

Three ways over one bidirectional stream: blocking gRPC on reader threads, asyncio
gRPC on one bridge thread, and asyncio gRPC in trio's own thread by `trio-asyncio`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from concurrent.futures import ThreadPoolExecutor
from queue import SimpleQueue
from threading import Thread

import grpc
import trio
import trio_asyncio
from tabulate import tabulate

from devtools.ports import free_port
from piershore.wire.frame_queue import FrameQueue
from piershore.wire.link_pb2 import AgentFrame, GatewayFrame, StreamTokens, TokenBatch
from piershore.wire.link_pb2_grpc import (
    add_LinkServicer_to_server,
    LinkServicer,
    LinkStub,
)

MESSAGES = 20_000
LONGEST_SECONDS = 90
TOKENS = ("a token", "and one")


def frame(streams: int) -> AgentFrame:
    """Return a frame with the tokens of some streams."""
    batch = TokenBatch(
        streams=[
            StreamTokens(request=n, first_index=1, tokens=TOKENS)
            for n in range(streams)
        ]
    )
    return AgentFrame(tokens=batch)


class BlockingServicer(LinkServicer):
    """Sends the frames as fast as it can."""

    def __init__(self, message: AgentFrame, count: int) -> None:
        self._message = message
        self._count = count

    def Connect(self, request_iterator, context):  # noqa: N802
        """Send all frames."""
        frames: FrameQueue[AgentFrame] = FrameQueue()
        for _ in range(self._count):
            frames.put(self._message)
        frames.close()
        yield from frames


class AsyncServicer(LinkServicer):
    """The same for asyncio gRPC."""

    def __init__(self, message: AgentFrame, count: int) -> None:
        self._message = message
        self._count = count

    async def Connect(self, request_iterator, context):  # noqa: N802
        """Send all frames."""
        for _ in range(self._count):
            yield self._message


async def blocking(message: AgentFrame, count: int) -> None:
    """Blocking gRPC; a reader thread hands frames to trio."""
    address = f"127.0.0.1:{free_port()}"
    server = grpc.server(ThreadPoolExecutor(2))
    add_LinkServicer_to_server(BlockingServicer(message, count), server)
    server.add_insecure_port(address)
    server.start()
    await receive(lambda hand_over: read_blocking(address, hand_over), count)
    server.stop(None).wait()


def read_blocking(address: str, hand_over: Callable[[AgentFrame], None]) -> None:
    """Read a stream in this thread."""
    with grpc.insecure_channel(address) as channel:
        requests: SimpleQueue = SimpleQueue()
        requests.put(GatewayFrame())
        for received in LinkStub(channel).Connect(iter(requests.get, None)):
            hand_over(received)
        requests.put(None)


async def bridged(message: AgentFrame, count: int) -> None:
    """Asyncio gRPC, both ends in one bridge thread."""
    await receive(
        lambda hand_over: asyncio.run(bridge(message, count, hand_over)), count
    )


async def inside(message: AgentFrame, count: int) -> None:
    """Asyncio gRPC in trio's own thread."""
    seen = []
    async with trio_asyncio.open_loop():
        await trio_asyncio.aio_as_trio(bridge)(message, count, seen.append)


async def bridge(
    message: AgentFrame, count: int, hand_over: Callable[[AgentFrame], None]
) -> None:
    """Serve and read in one asyncio loop."""
    address = f"127.0.0.1:{free_port()}"
    server = grpc.aio.server()
    add_LinkServicer_to_server(AsyncServicer(message, count), server)
    server.add_insecure_port(address)
    await server.start()
    async with grpc.aio.insecure_channel(address) as channel:

        async def requests() -> AsyncIterator[GatewayFrame]:
            yield GatewayFrame()

        async for received in LinkStub(channel).Connect(requests()):
            hand_over(received)
    await server.stop(None)


async def receive(
    read: Callable[[Callable[[AgentFrame], None]], None], count: int
) -> None:
    """Run `read` in a thread and count what reaches trio."""
    token = trio.lowlevel.current_trio_token()
    done = trio.Event()
    seen = 0

    def take(received: AgentFrame) -> None:
        nonlocal seen
        seen += 1
        if seen == count:
            done.set()

    def hand_over(received: AgentFrame) -> None:
        token.run_sync_soon(take, received)

    thread = Thread(target=read, args=(hand_over,))
    thread.start()
    await done.wait()
    await trio.to_thread.run_sync(thread.join)


async def bounded(way: Callable, message: AgentFrame, count: int) -> None:
    """Run one way, but not for ever."""
    with trio.fail_after(LONGEST_SECONDS):
        await way(message, count)


WAYS = {
    "reader threads": blocking,
    "bridge thread": bridged,
    "inside trio": inside,
}


def main() -> None:
    """Print CPU time for each frame and for each token."""
    rows = []
    for streams in (1, 40):
        message = frame(streams)
        count = MESSAGES if streams == 1 else MESSAGES // 10
        for name, way in WAYS.items():
            started = time.process_time()
            trio.run(bounded, way, message, count)
            each = (time.process_time() - started) / count
            tokens = streams * len(TOKENS)
            rows.append((name, streams, each * 1e6, each * 1e6 / tokens))
    headers = ("way", "streams in a frame", "us a frame", "us a token")
    print(tabulate(rows, headers, floatfmt=".1f"))


if __name__ == "__main__":
    main()
