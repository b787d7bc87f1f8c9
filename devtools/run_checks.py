"""All checks of `make test`, ending with the counts."""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

BIN = Path(sys.executable).parent
SCENARIOS = re.compile(
    r"^(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?", re.MULTILINE
)
KNOWN_RED = Path("KNOWN-RED.txt")


@dataclass(frozen=True)
class Counts:
    """Checks passed and failed."""

    passed: int = 0
    failed: int = 0

    def __add__(self, other: Counts) -> Counts:
        return Counts(self.passed + other.passed, self.failed + other.failed)


def main() -> int:
    """Run everything; return 0 if nothing failed."""
    counts = run_step("formatter", str(BIN / "ruff"), "format", "--check", ".")
    counts += run_step("linter", str(BIN / "ruff"), "check", ".")
    counts += run_models()
    counts += run_behave()
    if KNOWN_RED.exists():
        print("known red:", KNOWN_RED.read_text(), sep="\n")
    print(f"{counts.passed} passed, {counts.failed} failed")
    return 1 if counts.failed else 0


def run_step(name: str, *command: str) -> Counts:
    """Run one command as one check."""
    code = subprocess.run(command, check=False).returncode
    print(f"{name}: {'passed' if code == 0 else 'failed'}", flush=True)
    return Counts(passed=1) if code == 0 else Counts(failed=1)


def run_models() -> Counts:
    """Run the models, installing the checker if it is missing."""
    if shutil.which("spin") is None:
        subprocess.run(["apt-get", "update", "-qq"], check=False)
        subprocess.run(["apt-get", "install", "-y", "-qq", "spin", "gcc"], check=False)
    return run_step("models", sys.executable, "-m", "devtools.model_check")


def run_behave() -> Counts:
    """Run the scenarios and read their counts."""
    command = [str(BIN / "behave"), "--no-skipped", "--format=progress"]
    done = subprocess.run(command, check=False, stdout=subprocess.PIPE, text=True)
    print(done.stdout, flush=True)
    found = SCENARIOS.search(done.stdout)
    if found is None:
        return Counts(failed=1)
    passed = int(found.group(1))
    failed = int(found.group(2)) + int(found.group(3) or 0)
    if done.returncode != 0 and failed == 0:
        failed = 1
    return Counts(passed, failed)


if __name__ == "__main__":
    sys.exit(main())
