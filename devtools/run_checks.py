"""All checks of `make test`, ending with the counts."""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

BIN = Path(sys.executable).parent
SCENARIOS = re.compile(
    r"^(\d+) scenarios? passed, (\d+) failed(?:, (\d+) error)?", re.MULTILINE
)
KNOWN_RED = Path("KNOWN-RED.txt")
FAILURES = Path("build/failures")
"""The whole output of each step that failed, with the machine's load."""
BROKEN_SEED = re.compile(r"^seed (\d+): .*BROKEN", re.MULTILINE)
FAILING = re.compile(r"^  features/\S+\.feature:\d+  (.+)$", re.MULTILINE)
REASON = re.compile(
    r"^(?:FAILURE in|ERROR in|ASSERT FAILED|[\w.]+Error\b).*", re.MULTILINE
)
LINES_TOLD = 12
"""Of each step that fails, told again at the end: a record of a run may keep no more
than its last lines."""
PARALLEL_FEATURES = 3
SOAK_OPTIONS = (
    "--crashing",
    "--crashing-part",
    "--asking",
    "--limiting",
    "--skewed",
    "--drill",
    "--planned",
)
"""Played one by one, so that a broken promise tells which of them broke it."""
BEHAVE_OPTIONS = ("--format=progress3", "--logging-level=WARNING")


@dataclass(frozen=True)
class Counts:
    """Checks passed and failed, what those that failed told, and their names."""

    passed: int = 0
    failed: int = 0
    told: tuple[str, ...] = ()
    names: tuple[str, ...] = ()

    def __add__(self, other: Counts) -> Counts:
        return Counts(
            self.passed + other.passed,
            self.failed + other.failed,
            self.told + other.told,
            self.names + other.names,
        )


def main() -> int:
    """Run everything; return 0 if nothing failed."""
    counts = run_step("formatter", str(BIN / "ruff"), "format", "--check", ".")
    counts += run_step("linter", str(BIN / "ruff"), "check", ".")
    counts += run_models()
    counts += run_behave()
    for option in SOAK_OPTIONS:
        counts += run_soak(option)
    if KNOWN_RED.exists():
        print("known red:", KNOWN_RED.read_text(), sep="\n")
    for line in counts.told:
        print(line)
    # Last, for records that keep only the end of the output.
    for name in counts.names:
        print(f"failed: {name}")
    print(f"{counts.passed} passed, {counts.failed} failed")
    return 1 if counts.failed else 0


def run_step(name: str, *command: str) -> Counts:
    """Run one command as one check."""
    code, output = run_and_print(command)
    if code == 0:
        print(f"{name}: passed", flush=True)
        return Counts(passed=1)
    print(f"{name}: failed", flush=True)
    keep_output(name, output)
    last = output.splitlines()[-LINES_TOLD:]
    return Counts(failed=1, told=(f"{name} failed:", *last), names=(name,))


def run_soak(option: str) -> Counts:
    """Run the soak with one option as one check; known red seeds are passed over."""
    name = f"soak {option}"
    command = (sys.executable, "-m", "devtools.soak", "--seeds", "3", option)
    code, output = run_and_print(command)
    if code == 0:
        print(f"{name}: passed", flush=True)
        return Counts(passed=1)
    keep_output(name, output)
    broken = [f"{name} {seed}" for seed in set(BROKEN_SEED.findall(output))]
    unknown = [seed for seed in broken if seed not in known_red()]
    print_known_red(seed for seed in broken if seed not in unknown)
    if broken and not unknown:
        return Counts(passed=1)
    print(f"{name}: failed", flush=True)
    last = output.splitlines()[-LINES_TOLD:]
    names = tuple(unknown) or (name,)
    return Counts(failed=1, told=(f"{name} failed:", *last), names=names)


def run_and_print(command: Iterable[str]) -> tuple[int, str]:
    """Run a command, print its output as it comes, and return its code and output."""
    lines: list[str] = []
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    ) as step:
        for line in step.stdout:
            print(line, end="", flush=True)
            lines.append(line)
    return step.returncode, "".join(lines)


def keep_output(name: str, output: str) -> None:
    """Keep the whole output of a step that failed."""
    FAILURES.mkdir(parents=True, exist_ok=True)
    load = " ".join(f"{value:.1f}" for value in os.getloadavg())
    path = FAILURES / f"{name.replace(' ', '')}-{time.strftime('%H%M%S')}.txt"
    path.write_text(f"load {load}\n{output}")
    print(f"output kept in {path}, load {load}", flush=True)


def run_models() -> Counts:
    """Run the models, installing the checker if it is missing."""
    if shutil.which("spin") is None:
        subprocess.run(["apt-get", "update", "-qq"], check=False)
        subprocess.run(["apt-get", "install", "-y", "-qq", "spin", "gcc"], check=False)
    return run_step("models", sys.executable, "-m", "devtools.model_check")


def run_behave() -> Counts:
    """Run the features, a few at a time, and add up their counts."""
    features = sorted(
        Path("features").glob("*.feature"), key=lambda f: -f.stat().st_size
    )
    with ThreadPoolExecutor(PARALLEL_FEATURES) as pool:
        return sum(pool.map(run_feature, features), Counts())


def run_feature(feature: Path) -> Counts:
    """Run one feature and read its counts; print all of it only on a failure."""
    command = [str(BIN / "behave"), *BEHAVE_OPTIONS, str(feature)]
    done = subprocess.run(
        command,
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        env={**os.environ, "PYTHONPATH": "."},
    )
    found = SCENARIOS.search(done.stdout)
    if found is None:
        print(done.stdout, flush=True)
        keep_output(feature.name, done.stdout)
        return Counts(failed=1, names=(feature.name,))
    counts = Counts(int(found[1]), int(found[2]) + int(found[3] or 0))
    if done.returncode != 0 and not counts.failed:
        counts += Counts(failed=1, names=(feature.name,))
    if counts.failed:
        print(done.stdout, flush=True)
        keep_output(feature.name, done.stdout)
        counts = pass_over_known_red(done.stdout, counts)
        counts += Counts(told=(f"{feature.name} failed:", *read_reasons(done.stdout)))
    print(f"{feature.name}: {counts.passed} passed, {counts.failed} failed", flush=True)
    return counts


def read_reasons(output: str) -> list[str]:
    """Return the lines of a feature's output that tell what failed and why."""
    return [*FAILING.findall(output), *REASON.findall(output)][:LINES_TOLD]


def pass_over_known_red(output: str, counts: Counts) -> Counts:
    """Take failures out that KNOWN-RED.txt names, and print them."""
    known = known_red()
    names = [name.strip() for name in FAILING.findall(output)]
    red = [name for name in names if name in known]
    unknown = tuple(name for name in names if name not in known)
    print_known_red(red)
    failed = max(0, counts.failed - len(red))
    return Counts(counts.passed, failed, names=counts.names + unknown)


def known_red() -> set[str]:
    """Return the names of the tests that KNOWN-RED.txt lists, one a line."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {line.partition("|")[0].strip() for line in lines if line.strip()}


def print_known_red(names: Iterable[str]) -> None:
    """Print the tests that failed as listed."""
    for name in names:
        print(f"known red, failed: {name}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
