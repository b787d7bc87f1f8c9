"""Reports of gateways, as received by their peers."""

from __future__ import annotations

from piershore.core.fleet.peer_report import PeerReport
from piershore.core.fleet.store_silence import StoreLiveness

LIVENESS = StoreLiveness(0.0, False)


def peer_report(host, number):
    """Return the report of a gateway that has no work."""
    return PeerReport(
        host, "ikeja", "life", number, 0, 0, 0, True, False, LIVENESS, 10.0, (), {}, {}
    )
