"""Runs scenarios against versions of the product that lack one mechanism.

Each must fail: this shows that the scenarios would notice the loss.
"""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tabulate import tabulate

ROOT = Path(__file__).parent.parent
BEHAVE = Path(sys.executable).parent / "behave"
PARALLEL = 3
FAILING = re.compile(r"^  (features/\S+)\s+(.+)$", re.MULTILINE)


@dataclass(frozen=True)
class Mutant:
    """A replacement in one source file and the feature that must notice it.

    `second` is another replacement, where two mechanisms guard the same promise.
    """

    name: str
    file: str
    old: str
    new: str
    feature: str
    second: tuple[str, str, str] | None = None


OWNER = "core/ownership/slot_owner.py"
TABLE = "core/ownership/slot_table.py"
VIEW = "core/configuration/config_view.py"
GENERATION = "core/streams/generation.py"

MUTANTS = (
    Mutant(
        "no interval check",
        OWNER,
        "if not self._owns(key):",
        "if False:",
        "core",
    ),
    Mutant(
        "no claims",
        OWNER,
        "        claim = self._claims.get(key.text)\n",
        "        claim = None\n",
        "core",
    ),
    Mutant(
        "re-owned interval",
        TABLE,
        "start = slot.last.end if slot.last",
        "start = slot.last.start if slot.last",
        "core",
    ),
    Mutant(
        "release below the admitted mark",
        OWNER,
        "mark = max(start, self._admitted.get(place, start))",
        "mark = start",
        "core",
    ),
    Mutant(
        "not_run said above the release mark",
        OWNER,
        "if key.mint_time <= mark:",
        "if True:",
        "core",
    ),
    Mutant(
        "forgotten keys run again",
        OWNER,
        "if key.mint_time <= self._forgotten_up_to:",
        "if False:",
        "core",
    ),
    Mutant(
        "new layout below old leases",
        TABLE,
        "start = self.current.highest_end\n",
        "start = self.current.start\n",
        "core",
    ),
    Mutant(
        "tokens appended blindly",
        "core/streams/token_buffer.py",
        "new = tokens[expected - first_index :]",
        "new = tokens",
        "core",
    ),
    Mutant(
        "older reader fed on",
        GENERATION,
        "self._reader = Reader(link, request, self._epoch)",
        "self._reader = self._reader or Reader(link, request, self._epoch)",
        "core",
    ),
    Mutant(
        "older version applied",
        VIEW,
        "if known is not None and known.version >= change.version:",
        "if False:",
        "core",
    ),
    Mutant(
        "deletions missed in snapshots",
        VIEW,
        "if is_missing and stored.version <= snapshot.revision:",
        "if False:",
        "core",
    ),
    Mutant(
        "a lost link gets no new attachment",
        "gateway/generation_service.py",
        "is_back = self._generation is not None and (",
        "is_back = False and (",
        "tokens_once_in_order",
    ),
    Mutant(
        "a lost generation is run again after tokens were shown",
        "gateway/generation_service.py",
        "                if shown:\n                    raise\n",
        "",
        "tokens_once_in_order",
    ),
    Mutant(
        "the tries' earlier outcomes are forgotten",
        "gateway/tries.py",
        "            self._outcome = error.outcome\n",
        "            pass\n        self._last = None\n",
        "not_run",
    ),
    Mutant(
        "a caller's key is called not run by the gateway",
        "gateway/callers_api.py",
        "    return Outcome.UNKNOWN\n",
        "    return Outcome.NOT_RUN\n",
        "not_run",
    ),
    Mutant(
        "an agent stops without finishing its work",
        "agent/daemon.py",
        "            await self._finish_work()\n",
        "",
        "planned_stop",
    ),
    Mutant(
        "a gateway stops without finishing its requests",
        "gateway/daemon.py",
        "        await self._in_flight.wait_none()\n",
        "",
        "planned_stop",
    ),
    Mutant(
        "a leaving agent goes on taking work",
        "agent/daemon.py",
        "        if self._work is not None:\n            self._work.leave()\n",
        "",
        "leaving",
        (
            "agent/daemon.py",
            "leaving=self._leaving.is_set() or self._work is None,",
            "leaving=self._work is None,",
        ),
    ),
    Mutant(
        "accepted edits aren't offered to relays",
        "gateway/config_editor.py",
        "        self._accepted(written)\n",
        "",
        "accepted_config",
    ),
    Mutant(
        "a lost answer isn't settled",
        "platform/settled_write.py",
        "if current is not None and write_id in current.write_ids:",
        "if False:",
        "accepted_config",
    ),
)


def run(mutant: Mutant) -> tuple[str, str, str]:
    """Run the feature on a copy with the mutant; return the row."""
    folder = Path(tempfile.mkdtemp(prefix="mutant-"))
    try:
        for name in ("src", "features", "devtools", "standins", "examples"):
            shutil.copytree(ROOT / name, folder / name)
        shutil.copy(ROOT / "behave.ini", folder)
        first = (mutant.file, mutant.old, mutant.new)
        for change in (first, mutant.second):
            if change is not None and not apply(folder, *change):
                return mutant.name, mutant.feature, "NOT APPLIED"
        done = subprocess.run(
            [str(BEHAVE), "--format=progress", f"features/{mutant.feature}.feature"],
            cwd=folder,
            check=False,
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONPATH": f"{folder / 'src'}:{folder}"},
        )
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    found = FAILING.findall(done.stdout)
    if done.returncode == 0 or not found:
        return mutant.name, mutant.feature, "MISSED"
    scenarios = [name.strip() for _, name in found]
    more = f" (+{len(scenarios) - 1})" if len(scenarios) > 1 else ""
    return mutant.name, mutant.feature, scenarios[0] + more


def apply(folder: Path, file: str, old: str, new: str) -> bool:
    """Replace text in a copy's source file; tell whether it was there."""
    path = folder / "src" / "piershore" / file
    text = path.read_text()
    path.write_text(text.replace(old, new, 1))
    return old in text


def main() -> int:
    """Run all mutants, or those whose feature is named; 0 if all were caught."""
    chosen = [m for m in MUTANTS if not sys.argv[1:] or m.feature in sys.argv[1:]]
    with ThreadPoolExecutor(PARALLEL) as pool:
        rows = list(pool.map(run, chosen))
    print(tabulate(rows, ("mutant", "feature", "first scenario that fails")))
    return 1 if any(row[2] in ("MISSED", "NOT APPLIED") for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
