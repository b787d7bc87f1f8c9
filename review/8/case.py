"""A runner's notice that comes while the list is read page by page is never seen."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import stage_2 as stage
import trio

from standins import published_store
from standins.published_store import PublishedStore

FOLDER = Path(__file__).resolve().parent
PAGE = 500
"""Entries of one page of the store's list: "about 500"."""
OTHER_RUNNERS = 1_050
"""Entries of another service's runners, which sort behind those of this one."""
LINK_MEGABITS = 5.0
NOTICE_AFTER_SECONDS = 0.15
"""From the store's first page for the last gateway to the runner's notice."""
REQUESTS = 24
WORK_SECONDS = 0.2
END_AFTER_SECONDS = 0.12
"""From the callers' requests, some 5 s after its notice, to the end of the runner."""
LEAVING = "i-0000"


class WatchedStore(PublishedStore):
    """Notes when each gateway's read of the runners begins."""

    def __init__(self) -> None:
        super().__init__()
        self.first_pages: list[float] = []
        self.pages = 0

    def _list(self, kind: str, query: dict[str, str]) -> dict:
        if kind == "servers":
            self.pages += 1
            if "since_revision" not in query:
                self.first_pages.append(trio.current_time())
        return super()._list(kind, query)


async def play(record, folder: Path, to_close: list) -> bool:
    """Return whether the leaving runner got no request 2 s after its notice."""
    published_store.PAGE = PAGE
    store = WatchedStore()
    gateways: list[stage.Gateway] = []
    runners: dict[str, stage.RunnerProcess] = {}
    async with trio.open_nursery() as nursery:
        await nursery.start(store.serve)
        store.put("config", "main", stage.configuration(7, desk=None, archive=None))
        for number in range(6):
            options = {
                "identity": f"i-{number:04x}",
                "service": "desk",
                "zone": ("ikeja", "lekki", "apapa")[number // 2],
                "born": 1_790_000_000_000 + number,
                "work": WORK_SECONDS,
            }
            runner = stage.RunnerProcess(options)
            to_close.append(runner)
            runners[runner.identity] = runner
            nursery.start_soon(runner.read_lines, record)
            store.put("servers", runner.identity, runner.entry())
        silent_port = stage.free_port()
        for number in range(OTHER_RUNNERS):
            entry = runners[LEAVING].entry()
            entry |= {"service": "archive", "address": f"127.0.0.1:{silent_port}"}
            store.put("servers", f"k-{number:04x}", entry)
        for number in range(2):
            link = stage.SlowLink(("127.0.0.1", store.port), LINK_MEGABITS)
            await nursery.start(link.serve)
            name = f"front-ikeja-{number + 1}"
            gateway = stage.Gateway(folder, name, "ikeja", ("127.0.0.1", link.port))
            gateway.link_megabits = LINK_MEGABITS
            gateways.append(gateway)
            to_close.append(gateway)
        for gateway in gateways:
            gateway.seeds = [g.host for g in gateways]
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        await trio.sleep(stage.CONTACT_SECONDS + 1)

        if stage.TROUBLE:
            store.first_pages.clear()
            for gateway in gateways:
                record.write(f"SIGKILL to {gateway.name}, which starts again")
                gateway.kill()
            await trio.sleep(0.3)
            for gateway in gateways:
                gateway.start()
            with trio.move_on_after(10):
                while len(store.first_pages) < len(gateways):
                    await trio.sleep(0.005)
        await trio.sleep(NOTICE_AFTER_SECONDS)
        entry = runners[LEAVING].entry("draining")
        runners[LEAVING].send("leave")
        store.put("servers", LEAVING, entry)
        left_at = time.monotonic()
        record.write(f"the store takes that {LEAVING} is draining")
        for gateway in gateways:
            await gateway.wait_ready()
        await trio.sleep(stage.CONTACT_SECONDS + stage.DRAIN_SECONDS)
        record.write("the gateways are in touch; callers begin")
        statuses: list[int] = []

        async def caller(number: int) -> None:
            gateway = gateways[number % len(gateways)]
            identity = f"9c41d07be2a4{number:04x}"
            record.write(f"caller sends {identity} to {gateway.name}")
            reply = await stage.call(gateway, "POST", "/once/2f", identity, 1_500)
            statuses.append(reply.status)
            record.write(f"{gateway.name} answers {identity} {reply.status}")

        async with trio.open_nursery() as callers:
            for number in range(REQUESTS):
                callers.start_soon(caller, number)
            await trio.sleep(END_AFTER_SECONDS)
            record.write(f"{LEAVING} ends")
            runners[LEAVING].process.terminate()
        await trio.sleep(0.3)
        nursery.cancel_scope.cancel()
    late = [
        line
        for line in runners[LEAVING].lines
        if line["event"] == "run" and line["at"] > left_at + stage.DRAIN_SECONDS
    ]
    for line in late:
        record.write(
            f"DRAIN: {LEAVING} got {line['id']} {line['at'] - left_at:.2f} s after the"
            " store had taken that it is draining"
        )
    lost = sum(status not in (200, 503) for status in statuses)
    record.write(f"{lost} of {REQUESTS} requests that may not repeat were lost")
    return not late


if __name__ == "__main__":
    sys.exit(stage.run_case(FOLDER, play))
