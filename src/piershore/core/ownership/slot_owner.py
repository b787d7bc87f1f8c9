"""An agent's ownership of mint times: claims of keys and maintenance of leases.

Safety depends on one comparison: the key's mint time against the agent's own confirmed
intervals. No clock is involved. `now` (Unix milliseconds) only determines how far ahead
a lease is extended, and when another agent takes over from a silent owner.

A store that is restored from an older copy has lost the intervals taken since then.
Each era of the store therefore has a record of its own, which starts above all mint
times that may have been assigned before (`begin_era`). Intervals that an agent had
confirmed before remain its own, since no other agent can take them any more.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterator
from dataclasses import dataclass, replace

from piershore.core.configuration.checked import (
    check_fields,
    checked,
    not_negative,
    positive,
)
from piershore.core.fleet.store_revision import era_of
from piershore.core.hashing import stable_hash
from piershore.core.outcome import Outcome
from piershore.core.ownership.claim import (
    Answer,
    AwaitKey,
    Claim,
    ClaimState,
    KeyDecision,
    RefuseKey,
    ReplayAnswer,
    RunKey,
)
from piershore.core.ownership.interval import Interval, Owner, SlotInterval
from piershore.core.ownership.key_minter import intervals_for
from piershore.core.ownership.minted_key import MintedKey
from piershore.core.ownership.slot_table import SlotTable
from piershore.core.refusal_reason import RefusalReason


@dataclass(frozen=True)
class OwnershipSettings:
    """Durations in milliseconds; `answers_kept` is a number of answers.

    `clock_allowance` is how far the agents' clocks may differ when the platform's store
    is restored from an older copy: the only case in which safety depends on clocks.
    """

    lease_length: int = checked(positive, default=10_000)
    takeover_grace: int = checked(not_negative, default=1_000)
    retention: int = checked(not_negative, default=600_000)
    answers_kept: int = checked(not_negative, default=10_000)
    clock_allowance: int = checked(not_negative, default=5_000)

    def __post_init__(self) -> None:
        check_fields(self)


class SlotOwner:
    """Decides for each non-repeatable key whether this agent runs it."""

    def __init__(self, service: str, owner: Owner, settings: OwnershipSettings) -> None:
        self._service = service
        self._owner = owner
        self._settings = settings
        self._version = 0
        self._table: SlotTable | None = None
        self._earlier_intervals: tuple[SlotInterval, ...] = ()
        self._claims: OrderedDict[str, Claim] = OrderedDict()
        self._mint_times: dict[str, int] = {}
        self._answers: OrderedDict[str, None] = OrderedDict()
        self._highest_claimed: dict[tuple[int, int], int] = {}
        self._released_ends: dict[tuple[int, int], int] = {}
        self._expired_up_to = 0
        self._leaving = False

    @property
    def version(self) -> int:
        """Version of the newest confirmed record."""
        return self._version

    @property
    def era(self) -> int:
        """Era of the store that the newest confirmed record is from."""
        return era_of(self._version)

    @property
    def table(self) -> SlotTable | None:
        """The newest confirmed record."""
        return self._table

    def confirm(self, table: SlotTable, version: int) -> None:
        """Apply a record that the platform has confirmed; ignore older ones."""
        if version <= self._version:
            return
        if era_of(version) > self.era:
            self._earlier_intervals = tuple(self._intervals_up_to(table.current.start))
        self._version = version
        self._table = table

    def begin_era(
        self, slot_count: int, spec_version: int, now: int, found: SlotTable | None
    ) -> SlotTable:
        """Return the first record of a new era of the store.

        `found` is the record of an earlier era as the store has it. Takeovers and
        extensions that the store has lost reach at most a lease's length beyond this
        record, or beyond the clock of the agent that made them.
        """
        tables = [table for table in (self._table, found) if table is not None]
        highest = max([now, *(table.current.highest_end for table in tables)])
        start = highest + self._settings.lease_length + self._settings.clock_allowance
        return SlotTable.create(self._service, slot_count, start, spec_version)

    def decide(self, key: MintedKey) -> KeyDecision:
        """Claim `key`, or return why it isn't run (model action `decide`)."""
        claim = self._claims.get(key.text)
        if claim is not None:
            return self._decide_repeat(claim)
        if key.mint_time <= self._expired_up_to:
            return RefuseKey(RefusalReason.MINT_TIME_TOO_OLD, Outcome.UNKNOWN)
        if not self._owns(key):
            return RefuseKey(RefusalReason.NO_OWNER, Outcome.UNKNOWN)
        if self._leaving:
            return self._refuse_while_leaving(key)
        self._claim(key)
        return RunKey()

    def finish(self, key: MintedKey, answer: Answer) -> None:
        """Store the answer of a key that ran."""
        self._claims[key.text] = Claim(ClaimState.DONE, answer)
        self._answers[key.text] = None
        while len(self._answers) > self._settings.answers_kept:
            evicted, _ = self._answers.popitem(last=False)
            self._claims[evicted] = Claim(ClaimState.DONE)

    def mark_unknown(self, key: MintedKey) -> None:
        """Record that it is unknown whether the key ran."""
        self._claims[key.text] = Claim(ClaimState.UNKNOWN)

    def unclaim(self, key: MintedKey) -> None:
        """Drop the claim of a key that was certainly never sent by this agent."""
        self._claims.pop(key.text, None)
        self._mint_times.pop(key.text, None)

    def drop_expired_claims(self, now: int) -> None:
        """Drop finished claims older than the retention, and refuse their keys.

        While the platform is down, intervals aren't extended and gateways keep minting
        keys at the end of an interval. The age of claims is therefore counted from the
        highest end of an interval if that is before `now`.
        """
        expired_up_to = min(now, self._highest_end()) - self._settings.retention
        if expired_up_to <= self._expired_up_to:
            return
        self._expired_up_to = expired_up_to
        expired = [
            text for text, mint in self._mint_times.items() if mint <= expired_up_to
        ]
        for text in expired:
            if self._claims[text].state is ClaimState.RUNNING:
                continue
            del self._claims[text]
            del self._mint_times[text]
            self._answers.pop(text, None)
        self._earlier_intervals = tuple(
            h for h in self._earlier_intervals if h.interval.end > expired_up_to
        )

    def leave(self) -> None:
        """Stop claiming keys and fix the final ends of this agent's intervals."""
        self._leaving = True
        for slot_interval in self._own_intervals():
            position = (slot_interval.layout_start, slot_interval.slot)
            start = slot_interval.interval.start
            end = max(start, self._highest_claimed.get(position, start))
            self._released_ends[position] = end

    def update_leases(
        self, table: SlotTable, now: int, members: Collection[str]
    ) -> SlotTable:
        """Return `table` with this agent's leases extended, taken or released.

        `members` names the endpoints of the service that are assumed live.
        """
        if self._leaving:
            return self._release_all(table)
        for index in range(len(table.current.slots)):
            table = self._change_slot(table, index, now, members)
        return table

    def _change_slot(
        self, table: SlotTable, index: int, now: int, members: Collection[str]
    ) -> SlotTable:
        slot = table.current.slots[index]
        last = slot.last
        end = self._lease_end(table, last, now)
        if last is not None and last.owner == self._owner and not last.released:
            is_due = last.end < now + self._settings.lease_length // 2
            is_kept = slot.wanted_by in (None, self._owner)
            return (
                table.extend(index, self._owner, end) if is_due and is_kept else table
            )
        if self._may_take(table, index, now, members):
            return table.take(index, self._owner, end)
        if slot.wanted_by is None and self._is_preferred(index, members):
            return table.mark_wanted(index, self._owner)
        return table

    def intervals(self) -> Iterator[SlotInterval]:
        """Yield this agent's own intervals, truncated where it has released them."""
        for slot_interval in self._own_intervals():
            end = self._released_ends.get(
                (slot_interval.layout_start, slot_interval.slot)
            )
            if end is not None:
                slot_interval = replace(
                    slot_interval, interval=slot_interval.interval.released_at(end)
                )
            yield slot_interval

    def _own_intervals(self) -> Iterator[SlotInterval]:
        yield from self._earlier_intervals
        if self._table is not None:
            yield from self._table.intervals_of(self._owner)

    def _intervals_up_to(self, end: int) -> Iterator[SlotInterval]:
        """Yield this agent's own intervals, truncated to the mint times up to `end`."""
        for slot_interval in self._own_intervals():
            if slot_interval.interval.start < end:
                truncated = slot_interval.interval.extended(
                    min(slot_interval.interval.end, end)
                )
                yield replace(slot_interval, interval=truncated)

    def _highest_end(self) -> int:
        return max(
            (slot_interval.interval.end for slot_interval in self.intervals()),
            default=0,
        )

    def _decide_repeat(self, claim: Claim) -> KeyDecision:
        if claim.state is ClaimState.RUNNING:
            return AwaitKey()
        if claim.state is ClaimState.UNKNOWN:
            return RefuseKey(RefusalReason.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
        if claim.answer is None:
            return RefuseKey(RefusalReason.ALREADY_RUN, Outcome.RUN)
        return ReplayAnswer(claim.answer)

    def _refuse_while_leaving(self, key: MintedKey) -> KeyDecision:
        end = self._released_ends.get(self._position(key), 0)
        if key.mint_time <= end:
            # The key stays this agent's own after the release and is never claimed.
            return RefuseKey(RefusalReason.LEAVING, Outcome.NOT_RUN)
        # The successor owns the key from now on and may have run it.
        return RefuseKey(RefusalReason.LEAVING, Outcome.UNKNOWN)

    def _owns(self, key: MintedKey) -> bool:
        if self._find_earlier_interval(key) is not None:
            return True
        if self._table is None:
            return False
        interval = self._table.locate(key)
        return interval is not None and interval.owner == self._owner

    def _claim(self, key: MintedKey) -> None:
        self._claims[key.text] = Claim(ClaimState.RUNNING)
        self._mint_times[key.text] = key.mint_time
        position = self._position(key)
        self._highest_claimed[position] = max(
            self._highest_claimed.get(position, 0), key.mint_time
        )

    def _find_earlier_interval(self, key: MintedKey) -> SlotInterval | None:
        return next(intervals_for(key, self._earlier_intervals), None)

    def _position(self, key: MintedKey) -> tuple[int, int]:
        earlier = self._find_earlier_interval(key)
        if earlier is not None:
            return earlier.layout_start, earlier.slot
        layout = next(
            x for x in reversed(self._table.layouts) if key.mint_time > x.start
        )
        return layout.start, key.slot(len(layout.slots))

    def _release_all(self, table: SlotTable) -> SlotTable:
        for index in self._owned_slots(table):
            position = (table.current.start, index)
            end = self._released_ends.get(position)
            if end is None:
                # Taken by a write whose answer arrived after `leave`: no key of the
                # interval was ever claimed here.
                end = table.current.slots[index].last.start
            table = table.release(index, self._owner, end)
        return table

    def _owned_slots(self, table: SlotTable) -> Iterator[int]:
        for index, slot in enumerate(table.current.slots):
            last = slot.last
            if last is not None and last.owner == self._owner and not last.released:
                yield index

    def _lease_end(self, table: SlotTable, last: Interval | None, now: int) -> int:
        # The first interval of a layout may start later than a lease's length from now.
        # Gateways mint keys for it immediately.
        start = now if last is not None else max(now, table.current.start)
        return start + self._settings.lease_length

    def _may_take(
        self, table: SlotTable, index: int, now: int, members: Collection[str]
    ) -> bool:
        slot = table.current.slots[index]
        last = slot.last
        end = self._lease_end(table, last, now)
        if end <= (last.end if last else table.current.start):
            return False
        if last is None or last.released:
            return self._is_preferred(index, members) or self._has_waited(last, now)
        if self._is_own_predecessor(last.owner):
            return True
        if slot.wanted_by == self._owner:
            return last.end < now
        is_silent = last.end + self._settings.takeover_grace < now
        is_candidate = self._is_preferred(index, members) or self._has_waited(last, now)
        return is_silent and is_candidate

    def _is_own_predecessor(self, owner: Owner) -> bool:
        is_same = owner.endpoint == self._owner.endpoint
        return is_same and owner.incarnation != self._owner.incarnation

    def _has_waited(self, last: Interval | None, now: int) -> bool:
        # The preferred agent has had enough time: any agent may take the slot.
        return now - (last.end if last else 0) > 2 * self._settings.lease_length

    def _is_preferred(self, index: int, members: Collection[str]) -> bool:
        candidates = {*members, self._owner.endpoint}
        preferred = max(candidates, key=lambda name: self._weight(name, index))
        return preferred == self._owner.endpoint

    def _weight(self, endpoint: str, index: int) -> int:
        return stable_hash(self._service, index, endpoint)
