"""Stand-in for the platform's store, as a process."""

from __future__ import annotations

import trio

from piershore.core.fleet.endpoint import Address
from standins.published_store import PublishedStore
from standins.serving import parser


async def run(listen: str) -> None:
    """Serve until the process is stopped."""
    address = Address.parse(listen)
    await PublishedStore().serve(address.host, address.port)


if __name__ == "__main__":
    trio.run(run, parser(__doc__).parse_args().listen)
