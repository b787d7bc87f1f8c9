"""An unframed stream whose runner crashes after its first second looks complete."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

import stage_2 as stage
import trio

from standins.published_store import PublishedStore

FOLDER = Path(__file__).resolve().parent
RUNNERS = 6
STREAMS = 40
EVENTS = 240
UNFRAMED = 20
"""One stream of so many has neither a length nor chunks."""
KILL_AFTER_EVENTS = 150
"""Events that the caller of an unframed stream has when the runner crashes: 1.8 s."""


async def play(record, folder: Path, to_close: list) -> bool:
    """Return whether each stream that ended as complete had all its events."""
    store = PublishedStore()
    gateways: list[stage.Gateway] = []
    replies: dict[str, stage.Reply] = {}
    crashed = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(store.serve)
        engine = stage.ENGINE
        store.put("config", "main", stage.configuration(7, huvo11a=engine))
        runners = {}
        for number in range(RUNNERS):
            runner = stage.RunnerProcess(
                {
                    "identity": f"i-{number:04x}",
                    "service": "huvo11a",
                    "zone": ("ikeja", "lekki", "apapa")[number % 3],
                    "unframed": UNFRAMED,
                    "born": 1_790_000_000_000 + number,
                }
            )
            to_close.append(runner)
            runners[runner.identity] = runner
            nursery.start_soon(runner.read_lines, record)
            store.put("servers", runner.identity, runner.entry())
        for number, hall in enumerate(("ikeja", "lekki")):
            name = f"front-{hall}-{number}"
            gateway = stage.Gateway(folder, name, hall, ("127.0.0.1", store.port))
            gateways.append(gateway)
            to_close.append(gateway)
        for gateway in gateways:
            gateway.seeds = [g.host for g in gateways]
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        await trio.sleep(stage.CONTACT_SECONDS + 1)

        def crash(identity: str) -> None:
            """Kill the runner of an unframed stream."""
            runner = next(
                r
                for r in runners.values()
                if any(
                    line["event"] == "run" and line["id"] == identity
                    for line in r.lines
                )
            )
            record.write(f"SIGKILL to runner {runner.identity}")
            runner.process.send_signal(signal.SIGKILL)

        async def caller(number: int) -> None:
            identity = f"9c41d07be2a3{number:04x}"
            seen = 0

            def on_data(data: bytes) -> None:
                nonlocal seen
                seen += data.count(b"id:")
                is_unframed = number % UNFRAMED == 0
                if not is_unframed or crashed.is_set() or seen < KILL_AFTER_EVENTS:
                    return
                crashed.set()
                if stage.TROUBLE:
                    crash(identity)

            await trio.sleep(0.05 * number)
            gateway = gateways[number % 2]
            record.write(f"caller sends {identity} to {gateway.name}")
            reply = replies[identity] = await stage.call(
                gateway,
                "POST",
                "/stream/2f",
                identity,
                39_000,
                [
                    ("Model", "m"),
                    ("Token-Usage", f"1460,{4 * EVENTS}"),
                    ("Prompt-Prefix", f"5c1e07a2:800,{number:x}:660"),
                ],
                b"{}",
                on_data,
            )
            numbers = reply.event_numbers()
            record.write(
                f"caller gets {identity}: status {reply.status}, {len(numbers)} events,"
                f" {'complete' if reply.is_whole else 'broken off'} {reply.error}"
            )

        async with trio.open_nursery() as callers:
            for number in range(1, STREAMS + 1):
                callers.start_soon(caller, number)
        await trio.sleep(0.3)
        nursery.cancel_scope.cancel()
    if not crashed.is_set():
        raise stage.CannotRunError("no unframed stream has run for long enough")
    broken = [
        identity
        for identity, reply in replies.items()
        if reply.status == 200
        and reply.is_whole
        and reply.event_numbers() != list(range(1, EVENTS + 1))
    ]
    for identity in broken:
        record.write(f"ORDER: {identity} ended as complete before its last event")
    served = sum(r.status == 200 and r.is_whole for r in replies.values())
    record.write(f"{served} of {len(replies)} streams ended as complete")
    return not broken


if __name__ == "__main__":
    sys.exit(stage.run_case(FOLDER, play))
