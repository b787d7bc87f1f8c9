"""Steps for slots, leases and keys: random histories, using only the core."""

from __future__ import annotations

from random import Random

from behave import then

from piershore.core.fleet.store_revision import StoreRevision
from piershore.core.ownership.claim import Answer, RefuseKey, RunKey
from piershore.core.ownership.exceptions import SlotChangeError
from piershore.core.ownership.interval import Owner
from piershore.core.ownership.minted_key import MintedKey
from piershore.core.ownership.slot_owner import OwnershipSettings, SlotOwner
from piershore.core.ownership.slot_table import SlotTable


class OwnershipHistory:
    """Random actions of two agents and their successors on one slot table."""

    def __init__(self, seed, slots):
        self.random = Random(seed)
        self.table = SlotTable.create("s", slots, 0)
        self.versions = [(1, self.table)]
        self.runs = {}
        self.keys = [
            MintedKey.mint(self.random.randrange(1, 1_500), self.random)
            for _ in range(120)
        ]
        self.agents = [self.agent(n) for n in range(2)]
        self.now = 1

    def agent(self, number):
        owner = Owner(f"a{number}", str(self.random.random()))
        settings_ = OwnershipSettings(60, 5, 150, 5)
        return SlotOwner("s", owner, settings_)

    def step(self):
        self.now += self.random.randrange(9)
        number = self.random.randrange(2)
        agent = self.agents[number]
        action = self.random.choice(
            ["run"] * 8 + ["keep"] * 4 + ["read", "leave", "crash", "forget", "resize"]
        )
        getattr(self, action)(agent, number)

    def run(self, agent, number):
        key = self.random.choice(self.keys)
        decision = agent.decide(key)
        if isinstance(decision, RunKey):
            self.runs[key.text] = self.runs.get(key.text, 0) + 1
            assert self.runs[key.text] == 1, "a key ran twice"
            if self.random.random() < 0.8:
                agent.finish(key, Answer(200, b""))
        elif isinstance(decision, RefuseKey) and decision.outcome == "not_run":
            assert key.text not in self.runs, "a key that ran was reported as not run"

    def keep(self, agent, number):
        version, base = self.random.choice(self.versions[-2:])
        clock = self.now + self.random.choice([-50, 0, 0, 50])
        try:
            wanted = agent.update_leases(base, clock, {"a0", "a1"})
        except SlotChangeError:
            return
        if version != self.versions[-1][0] or wanted == base:
            return
        self.versions.append((version + 1, wanted))
        if self.random.random() < 0.7:
            agent.confirm(wanted, version + 1)

    def read(self, agent, number):
        version, table = self.random.choice(self.versions[-4:])
        agent.confirm(table, version)

    def leave(self, agent, number):
        if self.random.random() < 0.5:
            agent.leave()

    def crash(self, agent, number):
        if self.random.random() < 0.3:
            self.agents[number] = self.agent(number)

    def forget(self, agent, number):
        agent.drop_expired_claims(self.now + self.random.choice([0, 200]))

    def resize(self, agent, number):
        if self.random.random() < 0.2:
            version, table = self.versions[-1]
            count = self.random.randrange(1, 5)
            resized = table.resize(count, table.current.spec_version + 1)
            self.versions.append((version + 1, resized))


class RestoredHistory(OwnershipHistory):
    """The same with a store that is restored from older copies of itself.

    Each era has a record of its own. An agent uses the era of the store's last answer;
    from an answer with another era it learns only that era.
    """

    def __init__(self, seed, slots):
        self.slots = slots
        self.era = 0
        self.known_eras = {}
        super().__init__(seed, slots)
        self.records = {0: self.versions}
        self.keys = []

    def agent(self, number):
        self.known_eras[number] = 0
        owner = Owner(f"a{number}", str(self.random.random()))
        settings_ = OwnershipSettings(60, 5, 150, 5, clock_allowance=100)
        return SlotOwner("s", owner, settings_)

    def step(self):
        if self.random.random() < 0.02:
            self.restore_older_copy()
        super().step()

    def run(self, agent, number):
        """Send a key minted around the current time, or one of the last keys again."""
        if not self.keys or self.random.random() < 0.3:
            mint_time = max(1, self.now + self.random.randrange(-60, 260))
            self.keys = [*self.keys[-15:], MintedKey.mint(mint_time, self.random)]
        super().run(agent, number)

    def restore_older_copy(self):
        """Lose the last changes of all records; their numbers are assigned again."""
        lost = self.random.randrange(6)
        self.records = {
            era: versions[: max(1, len(versions) - lost)]
            for era, versions in self.records.items()
        }
        self.era += 1

    def knows_era(self, number):
        """Read the store's era; return whether the agent knew it already."""
        known_era, self.known_eras[number] = self.known_eras[number], self.era
        return known_era == self.era

    def keep(self, agent, number):
        if not self.knows_era(number):
            return
        self.versions = self.records.setdefault(self.era, [])
        if self.versions:
            super().keep(agent, number)
            return
        clock = self.now + self.random.choice([-50, 0, 0, 50])
        earlier = [v for era, v in self.records.items() if era < self.era and v]
        found = earlier[-1][-1][1]
        table = agent.begin_era(self.slots, 0, clock, found)
        wanted = agent.update_leases(table, clock, {"a0", "a1"})
        self.versions.append((StoreRevision.of(self.era, 1), wanted))
        if self.random.random() < 0.7:
            agent.confirm(wanted, self.versions[-1][0])

    def read(self, agent, number):
        self.versions = self.records.get(self.era, [])
        if self.knows_era(number) and self.versions:
            super().read(agent, number)

    def resize(self, agent, number):
        self.versions = self.records.get(self.era, [])
        if self.versions:
            super().resize(agent, number)


@then(
    "no key runs twice in {count:d} histories with {slots:d} slots and a restored store"
)
def check_restored_histories(context, count, slots):
    ran = eras = 0
    for seed in range(count):
        history = RestoredHistory(seed, slots)
        for _ in range(300):
            history.step()
        ran += len(history.runs)
        eras += history.era
    assert ran > count and eras > count, "hardly anything happened"


@then("no key runs twice in {count:d} random histories with {slots:d} slots")
def check_histories(context, count, slots):
    ran = 0
    for seed in range(count):
        history = OwnershipHistory(seed, slots)
        for _ in range(300):
            history.step()
        ran += len(history.runs)
    assert ran > count, "hardly anything ran, so the check proves nothing"


def maintain_leases(context, agents, seconds):
    """Let the agents maintain their leases in turn for some seconds."""
    names = {name for name, _ in context.members}
    for _ in range(seconds * 4):
        context.clock += 250
        for agent in agents:
            context.slots = agent.update_leases(context.slots, context.clock, names)
            context.version += 1
            agent.confirm(context.slots, context.version)


def slot_owners(context):
    return {slot.last.owner.endpoint for slot in context.slots.current.slots}


@then("each of 3 agents, of which one started first, owns some of 16 slots in the end")
def check_shared(context):
    context.clock, context.version = 1_000_000, 1
    context.slots = SlotTable.create("s", 16, context.clock)
    context.members = [
        (name, SlotOwner("s", Owner(name, "1"), OwnershipSettings())) for name in "abc"
    ]
    agents = [agent for _, agent in context.members]
    everyone, context.members = context.members, context.members[:1]
    maintain_leases(context, agents[:1], 5)
    assert slot_owners(context) == {"a"}
    context.members = everyone
    maintain_leases(context, agents, 30)
    assert slot_owners(context) == {"a", "b", "c"}, slot_owners(context)


@then("after one of them becomes silent the others own all slots in the end")
def check_silent(context):
    agents = [agent for name, agent in context.members if name != "b"]
    maintain_leases(context, agents, 60)
    assert slot_owners(context) == {"a", "c"}, slot_owners(context)
