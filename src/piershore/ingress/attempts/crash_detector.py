"""Detection of crashed endpoints, and of the requests that may have crashed them."""

from __future__ import annotations

from collections.abc import Callable, Collection

import trio

from piershore.core.fleet.endpoint import Endpoint, EndpointStage
from piershore.core.fleet.endpoint_directory import EndpointDirectory
from piershore.core.quarantine.endpoint_runs import EndpointRuns, REMEMBERED_SECONDS
from piershore.core.quarantine.request_fingerprint import RequestFingerprint
from piershore.core.quarantine.request_quarantine import RequestQuarantine
from piershore.http1.connection_pool import ConnectionPool, PortState
from piershore.telemetry import ingress_metrics
from piershore.telemetry.event_log import EventLog
from piershore.telemetry.events import RequestExcused, RequestSuspected

MAX_WAIT_SECONDS = 0.1
"""Maximum wait for the result of a check before the request is sent to another
endpoint: one that has crashed refuses connections within a few milliseconds."""
PROBE_DELAYS_SECONDS = (0.0, 0.1, 0.4)
"""Delay before each probe of an endpoint: one that has crashed may accept or close
connections for a moment, until its port is closed."""
SWEEP_INTERVAL_SECONDS = 2.0

SubjectsCallback = Callable[[Collection[str]], None]


class CrashDetector:
    """Checks whether endpoints whose answers broke off have crashed."""

    def __init__(
        self,
        runs: EndpointRuns,
        quarantine: RequestQuarantine,
        directory: EndpointDirectory,
        pool: ConnectionPool,
        log: EventLog,
    ) -> None:
        self._runs = runs
        self._quarantine = quarantine
        self._directory = directory
        self._pool = pool
        self._log = log
        self._checks: dict[str, trio.Event] = {}
        self._crashed: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None
        self._announce: SubjectsCallback = _announce_nothing

    def start(self, nursery: trio.Nursery, announce: SubjectsCallback) -> None:
        """Run checks in a nursery.

        `announce` gets the contents and traits whose state peers must know.
        """
        self._nursery = nursery
        self._announce = announce

    def check_endpoint(self, endpoint: Endpoint) -> None:
        """Check an endpoint whose answer broke off, unless it is leaving.

        An endpoint that announced that it leaves ends as planned.
        """
        identity = endpoint.identity
        if identity in self._crashed:
            self._suspect_requests(identity)
            return
        if identity in self._checks or self._nursery is None:
            return
        if self._directory.is_leaving(identity):
            return
        self._checks[identity] = trio.Event()
        self._nursery.start_soon(self._check, endpoint)

    async def is_serving(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint still serves; probe it to find out.

        One that leaves must accept two connections: it may close those that it has
        shortly before its port. One that closes each new connection has too many.
        """
        identity = endpoint.identity
        missing = 1 + self._directory.is_leaving(identity)
        state = PortState.SILENT
        for delay in PROBE_DELAYS_SECONDS:
            await trio.sleep(delay)
            if identity in self._crashed:
                return False
            state = await self._pool.probe_port(endpoint.address)
            if state is PortState.REFUSING:
                if not self._directory.is_leaving(identity):
                    self._record_crash(identity)
                return False
            missing -= state is PortState.OPEN
            if not missing:
                return True
        return state is PortState.CLOSING

    def record_removal(self, endpoint: Endpoint, *, is_restarted: bool) -> None:
        """Check an endpoint whose entry was removed without a notice.

        It may serve on: some leave without one, and the store may lose entries.
        """
        identity = endpoint.identity
        if endpoint.stage is EndpointStage.LEAVING:
            return
        if is_restarted:
            self._record_crash(identity)
            return
        now = trio.current_time()
        if self._nursery is not None and any(self._runs.suspects(identity, now)):
            self._nursery.start_soon(self._check_removed, endpoint)

    def record_sent(self, fingerprint: RequestFingerprint) -> None:
        """Record that a request is sent to an endpoint; report a probe to the peers."""
        now = trio.current_time()
        self._announce(self._quarantine.record_sent(fingerprint, now))

    def record_completion(
        self, request: str, fingerprint: RequestFingerprint, began_at: float
    ) -> None:
        """Record that an endpoint completed a request, which clears its crashes.

        `began_at` is when the first chunk of its answer came.
        """
        now = trio.current_time()
        self._report_cleared(
            request, self._quarantine.record_completion(fingerprint, began_at, now)
        )

    def record_answer(
        self, request: str, fingerprint: RequestFingerprint, began_at: float
    ) -> None:
        """Record that an endpoint lives on long after it began an answer."""
        now = trio.current_time()
        self._report_cleared(
            request, self._quarantine.record_answer(fingerprint, began_at, now)
        )

    def recall_quarantined(self) -> None:
        """Stop the attempts whose request has come into quarantine meanwhile.

        An endpoint drops a request that it hasn't begun to run.
        """
        if not len(self._quarantine):
            return
        for run in list(self._runs.unanswered()):
            if self._quarantine.is_held(run.fingerprint) and not run.is_probe:
                run.recall()

    def _report_cleared(self, request: str, cleared: Collection[str]) -> None:
        """Log and announce subjects that an answer has cleared of crashes."""
        for subject in cleared:
            self._log.write(RequestExcused(request, subject), is_failure=True)
        if cleared:
            ingress_metrics.QUARANTINED_REQUESTS.set(len(self._quarantine))
            self._announce(cleared)

    async def wait_for_check(self, endpoint: Endpoint) -> None:
        """Wait briefly for the result of a check, if one is running."""
        check = self._checks.get(endpoint.identity)
        if check is not None:
            with trio.move_on_after(MAX_WAIT_SECONDS):
                await check.wait()

    async def sweep(self) -> None:
        """Drop old runs and crashes periodically; never return."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_SECONDS)
            now = trio.current_time()
            self._runs.drop_expired(now)
            self._quarantine.drop_expired(now)
            for identity, until in list(self._crashed.items()):
                if until < now:
                    del self._crashed[identity]

    async def _check(self, endpoint: Endpoint) -> None:
        try:
            await self._probe(endpoint)
        finally:
            self._checks.pop(endpoint.identity).set()

    async def _probe(self, endpoint: Endpoint) -> None:
        """Probe an endpoint a few times; the first result releases waiting tasks."""
        identity, state = endpoint.identity, PortState.SILENT
        for delay in PROBE_DELAYS_SECONDS:
            await trio.sleep(delay)
            if self._directory.is_leaving(identity):
                return
            state = await self._pool.probe_port(endpoint.address)
            if state is PortState.REFUSING:
                self._record_crash(identity)
                return
            self._checks[identity].set()
        if state is PortState.OPEN:
            self._runs.clear_abandoned(identity)

    async def _check_removed(self, endpoint: Endpoint) -> None:
        """Treat a removed endpoint as crashed unless it goes on to take connections."""
        state = PortState.SILENT
        for delay in PROBE_DELAYS_SECONDS:
            await trio.sleep(delay)
            state = await self._pool.probe_port(endpoint.address)
            if state is PortState.REFUSING:
                break
        if state is not PortState.OPEN:
            self._record_crash(endpoint.identity)

    def _record_crash(self, identity: str) -> None:
        self._crashed[identity] = trio.current_time() + REMEMBERED_SECONDS
        self._suspect_requests(identity)

    def _suspect_requests(self, identity: str) -> None:
        """Suspect the requests that the endpoint had just started to run."""
        now, quarantine = trio.current_time(), self._quarantine
        accused: list[str] = []
        for run in list(self._runs.suspects(identity, now)):
            subjects = quarantine.record_crash(run.fingerprint, identity, now)
            if not subjects:
                continue
            accused.extend(subjects)
            self._log.write(
                RequestSuspected(
                    run.request,
                    identity,
                    run.fingerprint.content,
                    quarantine.crashes(run.fingerprint),
                    quarantine.seconds_until_release(run.fingerprint, now),
                    tuple(sorted(quarantine.quarantined(run.fingerprint))),
                ),
                is_failure=True,
            )
            ingress_metrics.SUSPECT_REQUESTS.inc()
        if accused:
            ingress_metrics.QUARANTINED_REQUESTS.set(len(quarantine))
            self._announce(accused)
            self.recall_quarantined()


def _announce_nothing(subjects: Collection[str]) -> None:
    """Do nothing: there are no peers yet."""
