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
BROKEN_PROMISE = re.compile(r"BROKEN, logs in \S+\n  (.+)")


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
QUARANTINE = "core/quarantine/quarantine.py"
KEEPER = "agent/lease_keeper.py"
LIMITS = "core/fleet/endpoint_rate_limits.py"
RESTORER = "gateway/edit_restorer.py"
STORE = "platform/http_platform_store.py"

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
        "release below the highest claimed mint time",
        OWNER,
        "end = max(start, self._highest_claimed.get(position, start))",
        "end = start",
        "core",
    ),
    Mutant(
        "not_run reported above the released end",
        OWNER,
        "if key.mint_time <= end:",
        "if True:",
        "core",
    ),
    Mutant(
        "expired keys run again",
        OWNER,
        "if key.mint_time <= self._expired_up_to:",
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
        "superseded reader still gets tokens",
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
        "if is_missing and is_older and not self._recent.may_be_lost(name, era):",
        "if False:",
        "core",
    ),
    Mutant(
        "a generation is not attached to again after its link is lost",
        "gateway/generation_service.py",
        "is_reconnected = self._generation is not None and (",
        "is_reconnected = False and (",
        "tokens_once_in_order",
    ),
    Mutant(
        "a lost generation is retried after its first token",
        "gateway/generation_service.py",
        "                if run.has_answered:\n                    raise\n",
        "",
        "tokens_once_in_order",
    ),
    Mutant(
        "the outcomes of earlier attempts are forgotten",
        "gateway/request_attempts.py",
        "            self._outcome = error.outcome\n",
        "            pass\n        self._last_refusal = None\n",
        "not_run",
    ),
    Mutant(
        "the gateway reports not_run for a caller's own key",
        "gateway/callers_api.py",
        "    return Outcome.UNKNOWN\n",
        "    return Outcome.NOT_RUN\n",
        "not_run",
    ),
    Mutant(
        "an agent stops without finishing its requests",
        "agent/daemon.py",
        "            await self._finish_work()\n",
        "",
        "planned_stop",
    ),
    Mutant(
        "a gateway stops without finishing its requests",
        "gateway/daemon.py",
        "        await self._in_flight.wait_until_idle()\n",
        "",
        "planned_stop",
    ),
    Mutant(
        "a leaving agent still accepts requests",
        "agent/daemon.py",
        "        if self._worker is not None:\n            self._worker.leave()\n",
        "",
        "leaving",
        (
            "agent/daemon.py",
            "leaving=self._leaving.is_set() or self._worker is None,",
            "leaving=self._worker is None,",
        ),
    ),
    Mutant(
        "accepted edits aren't offered to relays",
        "gateway/config_editor.py",
        "        self._on_accepted(written)\n",
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
    Mutant(
        "the expected endpoint isn't named",
        "platform/headers.py",
        "        headers.append((EXPECTED_ENDPOINT, _encode(endpoint.name)))\n",
        "",
        "soak",
    ),
    Mutant(
        "what may have run is tried again",
        "core/attempts/attempt_outcome.py",
        "    return kind is RequestKind.REPEATABLE\n",
        "    return True\n",
        "soak",
    ),
    Mutant(
        "an older configuration is applied",
        "core/routes/current_configuration.py",
        "        if configuration.version <= self.version:\n",
        "        if False:\n",
        "soak",
    ),
    Mutant(
        "503 although it may have run",
        "core/attempts/attempt_outcome.py",
        "    if all(outcome.proves_not_run for outcome in outcomes):\n",
        "    if True:\n",
        "ingress_calls",
    ),
    Mutant(
        "an answer to another request is taken",
        "http1/client_connection.py",
        "            if is_own(head):\n",
        "            if True:\n",
        "ingress_calls",
    ),
    Mutant(
        "a closed connection of a caller isn't detected",
        "ingress/callers/caller_service.py",
        "            nursery.start_soon(self._cancel_when_closed, exchange)\n",
        "",
        "ingress_calls",
    ),
    Mutant(
        "events are delivered again",
        "core/streams/delivered_events.py",
        "            if number <= self._last:\n",
        "            if False:\n",
        "ingress_core",
    ),
    Mutant(
        "silent endpoints are never given up",
        "core/streams/silence.py",
        "        is_given_up = unanswered >= MAX_UNANSWERED_PROBES\n",
        "        is_given_up = False\n",
        "ingress_streams",
    ),
    Mutant(
        "reports of silent endpoints are ignored",
        "core/streams/silence.py",
        "    if generated > stream.last_event + MAX_EVENTS_IN_TRANSIT:\n",
        "    if False:\n",
        "ingress_streams",
    ),
    Mutant(
        "a pause of the process counts as an endpoint's silence",
        "ingress/streams/silence_watch.py",
        "if was_paused(due, now):",
        "if False:",
        "ingress_streams",
    ),
    Mutant(
        "a stop for a move counts as the end of the stream",
        "ingress/streams/stream_relay.py",
        "        if stream.is_given_up:\n            return",
        "        if False:\n            return",
        "ingress_streams",
    ),
    Mutant(
        "a leaving endpoint gets new work",
        "core/fleet/endpoint_directory.py",
        " and endpoint.stage is EndpointStage.READY",
        "",
        "ingress_store",
    ),
    Mutant(
        "an empty watch advances the revision, and a cut isn't read again",
        "platform/feeds.py",
        "    return batch.revision if batch.changes else revision\n",
        "    return batch.revision\n",
        "ingress_store",
        (
            "ingress/followers/store_follower.py",
            "missed changes: read the whole state.\n"
            "                self._revision = None\n",
            "missed changes.\n",
        ),
    ),
    Mutant(
        "received chunks are not kept",
        "core/documents/document_assembler.py",
        "        self._received = received\n",
        "        self._received = {}\n",
        "documents",
    ),
    Mutant(
        "lists are split by position",
        "core/documents/splitting.py",
        "        is_last = crc32(data) % MEAN_ENTRIES_PER_CHUNK == 0\n",
        "        is_last = len(group) == MEAN_ENTRIES_PER_CHUNK\n",
        "documents",
    ),
    Mutant(
        "an answer of the store has a limit for the whole",
        "platform/object_client.py",
        '        data = b"".join([chunk async',
        '        with trio.fail_after(2.1):\n            data = b"".join([chunk async',
        "ingress_documents",
    ),
    Mutant(
        "a read from a peer has a timeout for the whole read",
        "ingress/peers/document_reader.py",
        "            document = await self._read(host, own)\n",
        "            with trio.move_on_after(0.05):\n"
        "                document = await self._read(host, own)\n",
        "ingress_documents",
        second=(
            "core/documents/document_assembler.py",
            "        self._received = received\n",
            "        self._received = {}\n",
        ),
    ),
    Mutant(
        "a report that is too large is sent unshortened",
        "ingress/peers/peer_link.py",
        "data if is_complete else report.encode_within(MAX_DATAGRAM_BYTES)",
        "data",
        "ingress_documents",
    ),
    Mutant(
        "gateways watch whatever the speed of their links",
        "core/fleet/watchers.py",
        "preferred=preferred",
        "preferred=()",
        "ingress_core",
    ),
    Mutant(
        "a snapshot is one message",
        "wire/config_batches.py",
        "SNAPSHOT_BATCH_BYTES = 65_536\n",
        "SNAPSHOT_BATCH_BYTES = 65_536_000\n",
        "accepted_config",
    ),
    Mutant(
        "possibly expired entries are dropped immediately",
        "core/fleet/endpoint_directory.py",
        "        if after_outage and endpoint.stage is EndpointStage.READY:\n",
        "        if False:\n",
        "ingress_store",
    ),
    Mutant(
        "load updates aren't sent to the gateways that share an endpoint",
        "core/fleet/subsetting.py",
        "        position = self._positions.get(endpoint.identity)\n",
        "        position = None\n",
        "large_fleet",
    ),
    Mutant(
        "all gateways choose from the same endpoints",
        "core/fleet/subsetting.py",
        "start = rank * endpoints // gateways",
        "start = 0",
        "large_fleet",
    ),
    Mutant(
        "a generation isn't placed outside a full subset",
        "core/fleet/placement.py",
        "if self._uses_subsets and not anywhere:",
        "if self._uses_subsets:",
        "large_fleet",
    ),
    Mutant(
        "outdated load updates count",
        "core/fleet/peer_table.py",
        "last.incarnation == update.incarnation and last.number < update.number",
        "True",
        "large_fleet",
    ),
    Mutant(
        "a gateway that starts watches without a pause",
        "ingress/followers/store_follower.py",
        "        await self._settle()\n",
        "",
        "ingress_store",
    ),
    Mutant(
        "requests that crash endpoints aren't quarantined",
        QUARANTINE,
        "return self.crashes >= self.crash_threshold",
        "return False",
        "crashing_requests",
    ),
    Mutant(
        "crashes aren't reported to peers",
        "ingress/peers/crash_reporter.py",
        "self._nursery.start_soon(self._send_to_all, tuple(subjects))",
        "pass",
        "crashing_requests",
    ),
    Mutant(
        "all requests that run at a crash are suspected",
        "core/quarantine/endpoint_runs.py",
        "if min(now, self.ended_at) - self.first_chunk_at > window:",
        "if False:",
        "crashing_requests",
    ),
    Mutant(
        "parts of prompts aren't recognized",
        "core/quarantine/request_traits.py",
        "    if not traits:\n        return traits\n",
        "    if traits:\n        return frozenset()\n",
        "crashing_prompt_parts",
    ),
    Mutant(
        "an account goes before a part",
        "core/quarantine/suspect_groups.py",
        "return not is_account(trait), beyond",
        "return True, beyond",
        "crashing_prompt_parts",
    ),
    Mutant(
        "a lender takes a loan back at once",
        "core/fleet/rate_loans.py",
        "now + LOAN_SECONDS + window",
        "now",
        "skewed_connections",
    ),
    Mutant(
        "an answer doesn't clear a request of crashes",
        QUARANTINE,
        "        self.cleared |= self.crashed\n",
        "",
        "crashing_requests",
    ),
    Mutant(
        "one slot table for all eras of the store",
        KEEPER,
        'f"{service}@{era}" if era else service',
        "service",
        "own_store_returns",
    ),
    Mutant(
        "an era's leases begin where those of the copy end",
        OWNER,
        "start = highest + self._settings.lease_length",
        "start = found.current.highest_end  #",
        "core",
    ),
    Mutant(
        "lost edits aren't written again",
        RESTORER,
        "for name in list(self._names_due(now)):",
        "for name in ():",
        "own_store_returns",
    ),
    Mutant(
        "a rate limit isn't divided among gateways",
        LIMITS,
        "return RateQuota(share.quota(quota.requests), quota.window)",
        "return quota",
        "endpoint_rate_limits",
    ),
    Mutant(
        "rate limits that peers report aren't applied",
        LIMITS,
        "            self._latest[identity] = advertised\n            if",
        "            if",
        "endpoint_rate_limits",
    ),
    Mutant(
        "the first answer without a rate ends a limit",
        LIMITS,
        "now - latest.at >= MAX_REORDERING_SECONDS",
        "True",
        "endpoint_rate_limits",
    ),
    Mutant(
        "no gateway probes whether a limit still applies",
        LIMITS,
        "if self._should_probe(",
        "if False and self._should_probe(",
        "endpoint_rate_limits",
    ),
    Mutant(
        "an attempt doesn't check the rate limit before it sends",
        "ingress/attempts/endpoint_attempt.py",
        "        self._check_limit()\n",
        "",
        "endpoint_rate_limits",
    ),
    Mutant(
        "an agent ignores its endpoint's rate limit",
        "agent/refusals.py",
        "self._rate_limiter.record_answer(rate, trio.current_time())",
        "pass",
        "agent_rate_limits",
    ),
    Mutant(
        "what is missing after a return was deleted",
        VIEW,
        "not self._recent.may_be_lost(name, era)",
        "True",
        "own_store_returns",
    ),
    Mutant(
        "deletions are allowed at once after a restore",
        RESTORER,
        "SETTLE_SECONDS = 3.0",
        "SETTLE_SECONDS = 0.0",
        "own_store_returns",
    ),
    Mutant(
        "conflicts with a restored older copy are reported",
        "gateway/config_editor.py",
        "self._check_not_lost(name, error)",
        "pass",
        "own_store_returns",
    ),
    Mutant(
        "numbers of an earlier era are sent as they are",
        STORE,
        "if version.era >= self.era:",
        "if True:",
        "contracts",
    ),
    Mutant(
        "a write of an earlier era stays so",
        "platform/settled_write.py",
        "era_of(written.version) >= store.era",
        "True",
        "contracts",
    ),
)
SOAK = "soak"
"""The name that stands for the soak in place of a feature."""
SOAK_SEEDS = 6


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
        command = [str(BEHAVE), "--format=progress"]
        command.append(f"features/{mutant.feature}.feature")
        if mutant.feature == SOAK:
            command = [sys.executable, "-m", "devtools.soak"]
            command.append(f"--seeds={SOAK_SEEDS}")
        done = subprocess.run(
            command,
            cwd=folder,
            check=False,
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONPATH": f"{folder / 'src'}:{folder}"},
        )
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    if mutant.feature == SOAK:
        broken = BROKEN_PROMISE.search(done.stdout)
        return mutant.name, SOAK, broken[1][:60] if broken else "MISSED"
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
