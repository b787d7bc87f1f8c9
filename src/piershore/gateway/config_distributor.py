"""Distribution of the configuration to this gateway's followers and agents."""

from __future__ import annotations

import trio

from piershore.core.configuration.config_view import ConfigView
from piershore.core.ports import BoxRole
from piershore.gateway.agent_links import AgentLinks
from piershore.gateway.box_directory import BoxDirectory
from piershore.wire.config_batches import apply_changes, BatchCursor
from piershore.wire.frame_queue import FrameQueue
from piershore.wire.link_pb2 import (
    BoxReport,
    ConfigBatch,
    Drain,
    FollowRequest,
    GatewayFrame,
    ReportReply,
)
from piershore.wire.peer_server import PeerHandler

BATCH_PERIOD_SECONDS = 0.1
KEEPALIVE_PERIODS = 10


class ConfigDistributor(PeerHandler):
    """Sends configuration changes to the followers and agents of this gateway.

    Changes are sent in batches, one every `BATCH_PERIOD_SECONDS`. Followers get an
    empty batch at least every `KEEPALIVE_PERIODS` of these, so that they detect a relay
    that has failed.
    """

    def __init__(
        self,
        gateway: str,
        data_hall: str,
        view: ConfigView,
        directory: BoxDirectory,
        links: AgentLinks,
    ) -> None:
        self._gateway = gateway
        self._data_hall = data_hall
        self._view = view
        self._directory = directory
        self._links = links
        self._followers: dict[FrameQueue[ConfigBatch], BatchCursor] = {}
        self._leaving = False
        directory.add_listener(self._announce_boxes)

    async def run(self) -> None:
        """Send changes until cancelled."""
        periods = 0
        while True:
            await trio.sleep(BATCH_PERIOD_SECONDS)
            periods += 1
            for link in self._links.all:
                link.send_config_changes()
            for follower in list(self._followers):
                self._send(follower, even_if_empty=periods % KEEPALIVE_PERIODS == 0)

    def mark_leaving(self) -> None:
        """Report this gateway as leaving from now on."""
        self._leaving = True

    def follower_joined(
        self, request: FollowRequest, batches: FrameQueue[ConfigBatch]
    ) -> None:
        """Send a follower the changes that it lacks, and all later ones.

        Close its queue if this gateway has no complete configuration yet.
        """
        if not self._view.complete_to:
            batches.close()
            return
        self._followers[batches] = BatchCursor(self._view, request.complete_to)
        self._send(batches, even_if_empty=True, with_boxes=True)

    def follower_left(self, batches: FrameQueue[ConfigBatch]) -> None:
        """Stop sending to a follower that has disconnected."""
        self._followers.pop(batches, None)

    def receive_offer(self, batch: ConfigBatch) -> None:
        """Apply an edit that was accepted at another gateway."""
        apply_changes(self._view, batch)

    def report(self) -> ReportReply:
        """Return the reports of this gateway and its agents."""
        own = BoxReport(
            box=self._gateway,
            role=BoxRole.GATEWAY,
            data_hall=self._data_hall,
            complete_to=self._view.complete_to,
            leaving=self._leaving,
            applied_beyond=self._view.applied_beyond,
        )
        agents = [
            BoxReport(
                box=link.state.name,
                role=BoxRole.AGENT,
                data_hall=link.state.data_hall,
                complete_to=link.complete_to,
                leaving=link.state.is_leaving,
                service=link.state.service,
                running=link.state.report.running,
                queued=link.state.report.queued,
                applied_beyond=link.applied_beyond,
            )
            for link in self._links.all
            if link.state.is_open
        ]
        return ReportReply(boxes=[own, *agents])

    def _send(
        self,
        follower: FrameQueue[ConfigBatch],
        *,
        even_if_empty: bool,
        with_boxes: bool = False,
    ) -> None:
        batches = list(self._followers[follower].next_batches())
        if not batches:
            if not even_if_empty:
                return
            batches.append(ConfigBatch(complete_to=self._view.complete_to))
        if with_boxes:
            batches[-1].boxes.extend(self._directory.entries())
        for batch in batches:
            follower.put(batch)

    def _announce_boxes(self) -> None:
        leaving = self._directory.leaving
        self._links.set_leaving_boxes(leaving)
        for link in self._links.all:
            if link.state.name in leaving:
                link.send(GatewayFrame(drain=Drain()))
        for follower in list(self._followers):
            self._send(follower, even_if_empty=True, with_boxes=True)
