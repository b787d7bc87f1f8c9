"""State of the platform's stand-in: objects, versions, changes and faults."""

from __future__ import annotations

from copy import deepcopy
from dataclasses import dataclass, field

WRITE_IDS_KEPT = 8
CHANGES_KEPT = 10_000


@dataclass
class Faults:
    """Switches of the faults; times are seconds."""

    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    stale_reads: bool = False
    drop_changes: int = 0
    box_lag: float = 0.0
    outage_after_write: bool = False


@dataclass
class Counts:
    """Calls so far; a waiting watch counts as one."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


class ConflictError(Exception):
    """The object isn't at the version that the write named."""

    def __init__(self, current: dict | None) -> None:
        super().__init__("conflict")
        self.current = current


@dataclass
class PlatformState:
    """Objects as plain JSON, ordered by one revision counter."""

    revision: int = 1
    objects: dict[tuple[str, str], dict] = field(default_factory=dict)
    changes: list[dict] = field(default_factory=list)
    boxes: dict[str, dict] = field(default_factory=dict)
    faults: Faults = field(default_factory=Faults)
    counts: Counts = field(default_factory=Counts)
    frozen: dict[tuple[str, str], dict] | None = None
    frozen_revision: int = 0

    def freeze_reads(self) -> None:
        """Keep the present state for stale reads."""
        self.frozen = deepcopy(self.objects)
        self.frozen_revision = self.revision

    def read(self, kind: str, name: str) -> dict | None:
        """Return an object, from the frozen state if reads are stale."""
        return self._readable()[0].get((kind, name))

    def list(self, kinds: set[str]) -> dict:
        """Return all live objects of the kinds and the revision."""
        objects, revision = self._readable()
        live = [
            o for o in objects.values() if o["kind"] in kinds and o["value"] is not None
        ]
        return {"revision": revision, "objects": live}

    def write(self, kind: str, name: str, body: dict) -> dict:
        """Write if the version matches; version 0 means that none is live."""
        current = self.objects.get((kind, name))
        is_live = current is not None and current["value"] is not None
        expected = current["version"] if current is not None else 0
        matches = body["version"] == expected or (
            not is_live and body["version"] == 0 and body["value"] is not None
        )
        if not matches or (body["value"] is None and not is_live):
            raise ConflictError(current)
        self.revision += 1
        previous = current["write_ids"] if current is not None else []
        stored = {
            "kind": kind,
            "name": name,
            "version": self.revision,
            "value": body["value"],
            "write_ids": [*previous, body["write_id"]][-WRITE_IDS_KEPT:],
        }
        self.objects[kind, name] = stored
        self.changes.append(stored)
        del self.changes[:-CHANGES_KEPT]
        return stored

    def _readable(self) -> tuple[dict, int]:
        if self.faults.stale_reads and self.frozen is not None:
            return self.frozen, self.frozen_revision
        return self.objects, self.revision
