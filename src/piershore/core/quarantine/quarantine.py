"""Requests that are not sent on, since endpoints have crashed under them.

Load pattern: one request crashes each endpoint that begins to run it, and its caller
sends it again and again, under new ids and at any gateway. Each crash also ends what
else the endpoint ran, and takes its capacity away for seconds. Without a quarantine a
repeat each 1.5 s crashed the engines of a fleet of 7, which come back after 4 s, 77
times in 90 s (virtual time, one seed).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice
from math import inf

from piershore.core.quarantine.crash_note import CrashNote, MOST_ENDPOINTS
from piershore.core.remembering import remember

MOST_CRASHES = 2
"""Endpoints that may crash under a request before it is held. One may crash by chance;
of 10,900 requests on eight days with many faults none broke off at a second endpoint
without an answer in between."""
PROBE_SECONDS = (30.0, 120.0, 600.0)
"""When a request that is held is let through again, once in the whole fleet each time:
endpoints may have been mended meanwhile, or have crashed under everything. After as
many probes in vain it is held until it is forgotten."""
FORGET_SECONDS = 3_600.0
"""A request that hasn't come for so long is forgotten."""
SOUND_SECONDS = 30.0
"""A request that ran well in this time isn't suspected: what many callers send alike is
under way at most crashes, and would be held for what another one does."""
MOST_SOUND = 4_096
"""Requests that are remembered to have run well, at most 1 MB: those of 30 s at a
gateway with 130 a second."""
MOST_RECORDS = 2_048
"""Requests that are remembered, at most 2 MB; an endpoint must crash for each."""


@dataclass
class _Record:
    most_crashes: int
    crashed: set[str] = field(default_factory=set)
    excused: set[str] = field(default_factory=set)
    probes: int = 0
    held_until: float = -inf
    seen_at: float = -inf

    @property
    def crashes(self) -> int:
        """Crashes that the request may have caused."""
        return len(self.crashed - self.excused)

    @property
    def is_held(self) -> bool:
        """Whether it is let through only as a probe."""
        return self.crashes >= self.most_crashes

    def hold(self, now: float) -> None:
        """Set the time of the next probe, after a crash or a probe."""
        self.held_until = -inf
        if self.is_held:
            step = max(self.crashes - self.most_crashes, self.probes)
            later = PROBE_SECONDS[step] if step < len(PROBE_SECONDS) else inf
            self.held_until = now + later

    def excuse(self, now: float) -> bool:
        """Lay the crashes so far to chance; tell whether there were any."""
        if not self.crashes:
            return False
        self.excused |= self.crashed
        self.hold(now)
        return True

    def merge(self, note: CrashNote) -> bool:
        """Take what a peer tells; tell whether any of it is new."""
        before = len(self.crashed), len(self.excused), self.probes
        room = MOST_ENDPOINTS - len(self.crashed)
        self.crashed.update(islice(sorted(note.crashed - self.crashed), room))
        self.excused.update(note.excused & self.crashed)
        self.probes = max(self.probes, note.probes)
        return before != (len(self.crashed), len(self.excused), self.probes)

    def note(self, content: str) -> CrashNote:
        """Return what peers are told."""
        crashed, excused = frozenset(self.crashed), frozenset(self.excused)
        return CrashNote(content, crashed, excused, self.probes)


class Quarantine:
    """What is known of requests under which endpoints crashed, by their content."""

    def __init__(self, most_crashes: int = MOST_CRASHES) -> None:
        self._most_crashes = most_crashes
        self._records: dict[str, _Record] = {}
        self._sound: dict[str, float] = {}

    def __len__(self) -> int:
        """Return how many requests are held."""
        return sum(record.is_held for record in self._records.values())

    def seconds_held(self, content: str, now: float) -> float | None:
        """Return in how many seconds a request may be sent; None if it may be now."""
        record = self._records.get(content)
        if record is None:
            return None
        if now - record.seen_at > FORGET_SECONDS:
            del self._records[content]
            return None
        if now >= record.held_until:
            return None
        record.seen_at = now
        return min(record.held_until - now, FORGET_SECONDS)

    def note_sent(self, content: str, now: float) -> bool:
        """Note that a request goes to an endpoint; tell whether it is a probe.

        The next one is due only later, here and at all peers that hear of it.
        """
        record = self._records.get(content)
        if record is None or not record.is_held:
            return False
        record.probes += 1
        record.hold(now)
        return True

    def note_crash(self, content: str, identity: str, now: float) -> int:
        """Count the crash of an endpoint; return the crashes if it is a new one.

        A request that ran well lately isn't suspected: 0.
        """
        note = CrashNote(content, frozenset({identity}))
        if not self.take(note, now) or self.excuse_sound(content, now):
            return 0
        return self._records[content].crashes

    def note_whole(self, content: str, now: float) -> bool:
        """Note that a request ran well; tell whether that excuses it of crashes."""
        remember(self._sound, content, now, MOST_SOUND)
        record = self._records.get(content)
        return record is not None and record.excuse(now)

    def excuse_sound(self, content: str, now: float) -> bool:
        """Excuse a request that ran well here lately; tell whether that is new."""
        sound_at = self._sound.get(content, -inf)
        record = self._records.get(content)
        if record is None or now - sound_at > SOUND_SECONDS:
            return False
        return record.excuse(now)

    def take(self, note: CrashNote, now: float) -> bool:
        """Add what a gateway tells; tell whether any of it is new."""
        record = self._records.get(note.content) or _Record(self._most_crashes)
        if not record.merge(note):
            return False
        record.seen_at = now
        record.hold(now)
        # The newest is last, and is evicted last.
        self._records.pop(note.content, None)
        self._records[note.content] = record
        self._evict()
        return True

    def is_held(self, content: str) -> bool:
        """Tell whether a request is let through only as a probe."""
        record = self._records.get(content)
        return record is not None and record.is_held

    def note(self, content: str) -> CrashNote | None:
        """Return what peers are told of one request."""
        record = self._records.get(content)
        return record and record.note(content)

    def held(self) -> Iterator[CrashNote]:
        """Yield what peers are told of all requests that are held."""
        for content, record in self._records.items():
            if record.is_held:
                yield record.note(content)

    def _evict(self) -> None:
        """Forget the oldest of too many; those that are not held first."""
        if len(self._records) <= MOST_RECORDS:
            return
        free = (content for content, r in self._records.items() if not r.is_held)
        del self._records[next(free, next(iter(self._records)))]
