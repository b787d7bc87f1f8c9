"""A stream that is read while something happens, and waits for states of gateways."""

from __future__ import annotations

import trio

from piershore.http1.client_connection import ClientConnection
from support.ingress_world import (
    configuration,
    route,
)

EVENT_START = b"id: "


SMALL_SIZE = "100,{}"


IN_FORCE_SECONDS = 4.0


class StreamReading:
    """A stream that is read while something happens."""

    def __init__(self, world, events, size):
        self._world = world
        self._size = size.format(events * 4)
        self.parts = []
        self._scanned_parts = 0
        self._event_count = 0
        self._tail = b""
        self.reply = None
        self.pause_after = None
        self.resumed = trio.Event()

    async def read(self):
        world = self._world
        head = world.head("stream", size=self._size, request="abc")
        address = world.address()
        connection = await ClientConnection.open(address.host, address.port, 1.0)
        await connection.send(head, b"")
        self.reply = await world.read(connection, self)
        await connection.close()

    async def receive(self, part):
        self.parts.append(part)
        if self.pause_after and self.count_events() >= self.pause_after:
            await self.resumed.wait()

    def count_events(self):
        """Return how many events were received; each chunk is scanned once."""
        for part in self.parts[self._scanned_parts :]:
            text = self._tail + part
            self._event_count += text.count(EVENT_START)
            self._tail = text[1 - len(EVENT_START) :]
        self._scanned_parts = len(self.parts)
        return self._event_count

    async def wait_for_events(self, count):
        while self.count_events() < count:
            await trio.sleep(0.005)

    def running_endpoint(self):
        return next(e for e in self._world.endpoints if e.open_streams)


def with_route(version, name):
    base = configuration(version)
    base["routes"].append(route(name, "desk", "unsafe"))
    return base


async def wait_served(world, name, number=0):
    with trio.move_on_after(2):
        while (await world.call(name, number=number)).status == 404:
            await trio.sleep(0.02)


async def wait_for_peers(world):
    for _, daemon in world.gateways.values():
        while daemon._state.gateway_count < len(world.gateways):
            await trio.sleep(0.01)
