"""The faults of a soak: each is drawn from the seed and ends by itself."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from random import Random

import trio

from devtools.soak.fault_proxy import LinkFault
from devtools.soak.fleet import DRAIN_SECONDS, Fleet, Gateway, GRACE_SECONDS
from standins.published_endpoint import FAULTS as ENDPOINT_FAULTS
from standins.published_store import StoreFault

Fault = Callable[["Troubles"], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
OF_STORE_SHARE = 0.3
LOOK_SECONDS = 0.05
STANDSTILL_SECONDS = 0.3
PLANNED_WORK = ("stop", "settings_change", "configuration", "endpoint_leaves")
"""Faults by which no request may be cut, and no generation run twice at a time."""
BAD_LINKS = tuple(fault for fault in LinkFault if fault is not LinkFault.NONE)
BAD_STORES = tuple(fault for fault in StoreFault if fault is not StoreFault.NONE)


def fault(function: Fault) -> Fault:
    """Register a fault under its name."""
    FAULTS[function.__name__] = function
    return function


class Troubles:
    """Draws faults and lets them overlap; `told` names the `played` ones.

    Only those of `names` are drawn, if there are any.
    """

    def __init__(
        self,
        fleet: Fleet,
        random: Random,
        gap: float,
        names: tuple[str, ...] = (),
    ) -> None:
        self.fleet = fleet
        self.random = random
        self._gap = gap
        self._names = names or tuple(FAULTS)
        self.told: list[str] = []
        self.played = 0
        self.bad_exits: list[str] = []
        self.store_bad_until = 0.0

    async def run(self, seconds: float) -> None:
        """Start faults for some seconds and wait for their ends."""
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                await trio.sleep(self.random.random() * 2 * self._gap)
                name = self.random.choice(self._names)
                self.played += 1
                self.told.append(f"{trio.current_time() - end + seconds:.2f} {name}")
                nursery.start_soon(FAULTS[name], self)
        self.fleet.heal()

    async def last(self, least: float = 0.2, most: float = 1.5) -> None:
        """Let a fault last for a while."""
        await trio.sleep(self.random.uniform(least, most))

    def gateway(self) -> Gateway:
        """Draw a gateway."""
        gateway = self.random.choice(self.fleet.gateways)
        self.told.append(f"  at {gateway.name}")
        return gateway

    async def watch_standstill(self) -> None:
        """Tell, for ever, when the soak itself stands still.

        Its faults then last longer than they were to, and gateways get no signal.
        """
        while True:
            before = trio.current_time()
            await trio.sleep(LOOK_SECONDS)
            late = trio.current_time() - before - LOOK_SECONDS
            if late > STANDSTILL_SECONDS:
                self.told.append(f"  the soak stood still for {late:.2f} s")

    def note_store(self) -> None:
        """Note that the store is disturbed now."""
        self.store_bad_until = trio.current_time()


@fault
async def pause(troubles: Troubles) -> None:
    """A gateway stands still, and wakes."""
    gateway = troubles.gateway()
    gateway.send_signal(signal.SIGSTOP)
    await troubles.last()
    gateway.send_signal(signal.SIGCONT)


@fault
async def kill(troubles: Troubles) -> None:
    """A gateway is killed and started again."""
    gateway = troubles.gateway()
    gateway.send_signal(signal.SIGKILL)
    if await gateway.wait_end(1.0) is not None:
        await troubles.last(0.1, 0.5)
        if not gateway.is_running:
            gateway.start()


@fault
async def stop(troubles: Troubles) -> None:
    """A gateway is told to stop, and started again after its end."""
    gateway = troubles.gateway()
    if not gateway.is_running:
        return
    life = gateway.lives
    # One that is told to stop before it has started may just end.
    is_starting = gateway.is_starting
    gateway.send_signal(signal.SIGCONT)
    gateway.send_signal(signal.SIGTERM)
    code = await gateway.wait_end(GRACE_SECONDS + 2)
    gateway.disturb()
    if code is None:
        troubles.bad_exits.append(f"{gateway.name} did not end in its grace")
        gateway.send_signal(signal.SIGKILL)
        await gateway.wait_end(1.0)
    elif code not in (0, -signal.SIGKILL) and not is_starting:
        troubles.bad_exits.append(f"{gateway.name} ended with {code}")
    if not gateway.is_running and gateway.lives == life:
        gateway.start()


@fault
async def settings_change(troubles: Troubles) -> None:
    """A gateway is told that its settings changed."""
    troubles.gateway().send_signal(signal.SIGHUP)


@fault
async def silent_connections(troubles: Troubles) -> None:
    """Open connections to an endpoint, or to the store, go silent for good."""
    gateway = troubles.gateway()
    endpoint = troubles.random.choice(troubles.fleet.endpoints)
    if troubles.random.random() < OF_STORE_SHARE:
        gateway.store_link.silence_open()
        gateway.disturb()
    else:
        endpoint.link.silence_open()


@fault
async def store_link(troubles: Troubles) -> None:
    """A gateway's link to the store is bad."""
    gateway = troubles.gateway()
    gateway.store_link.set_fault(troubles.random.choice(BAD_LINKS))
    gateway.disturb()
    await troubles.last()
    gateway.store_link.set_fault(LinkFault.NONE)
    gateway.disturb()


@fault
async def store(troubles: Troubles) -> None:
    """The store is out for all."""
    held = troubles.fleet.store
    held.fault = troubles.random.choice(BAD_STORES)
    troubles.note_store()
    await troubles.last()
    held.fault = StoreFault.NONE
    troubles.note_store()


@fault
async def history(troubles: Troubles) -> None:
    """Watches hear nothing, then the history goes and they are cut."""
    held = troubles.fleet.store
    held.is_deaf = True
    troubles.note_store()
    troubles.fleet.accept_configuration()
    await troubles.last(0.2, 1.0)
    held.forget_history()
    held.cut_watches()
    held.is_deaf = False
    troubles.note_store()


@fault
async def configuration(troubles: Troubles) -> None:
    """The operator makes some changes in quick succession."""
    for _ in range(troubles.random.randint(1, 3)):
        troubles.fleet.accept_configuration()
        await trio.sleep(0.05)


@fault
async def old_configuration(troubles: Troubles) -> None:
    """The store shows an older configuration for a while."""
    fleet = troubles.fleet
    fleet.show_configuration(max(1, fleet.config_version - 2))
    await troubles.last(0.3, 1.0)
    fleet.show_configuration(fleet.config_version)


@fault
async def endpoint_link(troubles: Troubles) -> None:
    """The link to an endpoint is bad."""
    link = troubles.random.choice(troubles.fleet.endpoints).link
    link.set_fault(troubles.random.choice(BAD_LINKS))
    await troubles.last()
    link.set_fault(LinkFault.NONE)


@fault
async def endpoint_answers(troubles: Troubles) -> None:
    """An endpoint spoils some answers."""
    standin = troubles.random.choice(troubles.fleet.endpoints).standin
    names = [name for name in ENDPOINT_FAULTS if name != "early"]
    standin.faults.extend(troubles.random.choices(names, k=3))


@fault
async def endpoint_leaves(troubles: Troubles) -> None:
    """An endpoint says that it leaves, or only goes from the list, and is replaced."""
    endpoint = troubles.random.choice(troubles.fleet.endpoints)
    standin = endpoint.standin
    if standin.identity in endpoint.left_at or not endpoint.is_listed:
        return
    if troubles.random.random() < 0.5:
        troubles.fleet.list_endpoint(endpoint, "draining")
    else:
        troubles.fleet.unlist_endpoint(endpoint)
    await trio.sleep(DRAIN_SECONDS + troubles.random.random())
    await troubles.fleet.replace(endpoint, standin)


@fault
async def endpoint_crash(troubles: Troubles) -> None:
    """An endpoint crashes, and another incarnation comes."""
    endpoint = troubles.random.choice(troubles.fleet.endpoints)
    standin = endpoint.standin
    if not standin.port:
        # It is being replaced after another fault.
        return
    standin.crash()
    await troubles.last(0.3, 1.0)
    await troubles.fleet.replace(endpoint, standin)
