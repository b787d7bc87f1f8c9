"""Runs the Spin models: the safe ones must pass, every mutant must be caught."""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tabulate import tabulate

MODELS = Path(__file__).parent.parent / "model"
MUTANT = re.compile(r"#if(?:n?def)\s+([A-Z_]+)")
STATES = re.compile(r"(\d+(?:\.\d+)?(?:e\+\d+)?) states, stored")
ERRORS = re.compile(r"errors: (\d+)")
VIOLATION = re.compile(r"pan:\d*:?\s*(.+?) \(at depth")
PARALLEL = 4
DEPTH = 2_000_000
MEMORY_MEGABYTES = 3_000


@dataclass(frozen=True)
class Verdict:
    """Result of one run; `mutant` is empty for the safe model."""

    model: str
    mutant: str
    states: str
    violation: str
    is_complete: bool

    @property
    def is_right(self) -> bool:
        """Whether the safe model passed whole, or the mutant was caught."""
        if self.mutant:
            return self.violation.startswith("assertion violated")
        return self.is_complete and not self.violation


def check(model: Path, mutant: str) -> Verdict:
    """Compile and search one model exhaustively."""
    folder = Path(tempfile.mkdtemp(prefix="model-"))
    try:
        define = [f"-D{mutant}"] if mutant else []
        run(["spin", *define, "-a", str(model)], folder)
        flags = ["-O2", "-w", "-DSAFETY", "-DCOLLAPSE", f"-DMEMLIM={MEMORY_MEGABYTES}"]
        run(["gcc", *flags, "-o", "pan", "pan.c"], folder)
        output = run(["./pan", "-E", f"-m{DEPTH}", "-w24"], folder)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    errors = ERRORS.search(output)
    found = VIOLATION.search(output)
    states = STATES.search(output)
    is_complete = bool(errors) and "not completed" not in output
    violation = found.group(1) if found else ""
    if errors and errors.group(1) != "0" and not violation:
        violation = "unnamed violation"
    number = states.group(1) if states else "?"
    return Verdict(model.stem, mutant, number, violation, is_complete)


def run(command: list[str], folder: Path) -> str:
    """Run a command and return all its output."""
    done = subprocess.run(
        command,
        cwd=folder,
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    if done.returncode != 0 and command[0] != "./pan":
        raise RuntimeError(f"{command}: {done.stdout}")
    return done.stdout


def main() -> int:
    """Check all models; return 0 if every verdict is right."""
    jobs = []
    for model in sorted(MODELS.glob("*.pml")):
        mutants = sorted(set(MUTANT.findall(model.read_text())))
        jobs += [(model, mutant) for mutant in ("", *mutants)]
    with ThreadPoolExecutor(PARALLEL) as pool:
        verdicts = list(pool.map(lambda job: check(*job), jobs))
    rows = [
        (v.model, v.mutant or "(safe)", v.states, v.violation or "none", _word(v))
        for v in verdicts
    ]
    print(tabulate(rows, ("model", "mutant", "states", "violated", "verdict")))
    return 0 if all(verdict.is_right for verdict in verdicts) else 1


def _word(verdict: Verdict) -> str:
    return "as expected" if verdict.is_right else "WRONG"


if __name__ == "__main__":
    sys.exit(main())
