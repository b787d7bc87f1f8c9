"""The latest list of boxes that was received from the platform or a peer."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from piershore.core.ports import Box, BoxRole, BoxState
from piershore.wire.link_pb2 import BoxEntry


class BoxDirectory:
    """Keeps the latest list of boxes and calls listeners when it changes."""

    def __init__(self) -> None:
        self._boxes: tuple[Box, ...] = ()
        self._listeners: list[Callable[[], None]] = []

    @property
    def boxes(self) -> tuple[Box, ...]:
        """All boxes on the list."""
        return self._boxes

    @property
    def leaving(self) -> frozenset[str]:
        """Names of the boxes that are leaving."""
        return frozenset(b.name for b in self._boxes if b.state is BoxState.LEAVING)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the list."""
        self._listeners.append(listener)

    def gateways(self) -> dict[str, Box]:
        """Return the live gateways by name."""
        return {
            box.name: box
            for box in self._boxes
            if box.role is BoxRole.GATEWAY and box.state is BoxState.LIVE
        }

    def update(self, boxes: Iterable[Box]) -> None:
        """Replace the list; call the listeners if it differs."""
        updated = tuple(sorted(boxes, key=lambda box: box.name))
        if updated == self._boxes:
            return
        self._boxes = updated
        for listener in self._listeners:
            listener()

    def entries(self) -> list[BoxEntry]:
        """Return the list as protobuf messages."""
        return [
            BoxEntry(
                name=box.name,
                role=box.role,
                data_hall=box.data_hall,
                peer_address=box.peer_address,
                state=box.state,
            )
            for box in self._boxes
        ]

    def update_from(self, entries: Iterable[BoxEntry]) -> None:
        """Replace the list by one from protobuf messages."""
        self.update(
            Box(
                name=entry.name,
                role=BoxRole(entry.role),
                data_hall=entry.data_hall,
                peer_address=entry.peer_address,
                state=BoxState(entry.state),
            )
            for entry in entries
        )
