"""Attempts of one request at several endpoints."""

from __future__ import annotations

from piershore.core.outcome import Outcome
from piershore.core.refusal_reason import RefusalReason, RETRYABLE_REASONS
from piershore.gateway.agent_link import AgentLink
from piershore.gateway.agent_links import AgentLinks
from piershore.gateway.exceptions import RequestRefusedError
from piershore.gateway.refusals import DEFAULT_RETRY_AFTER_SECONDS
from piershore.gateway.retry_quota import RetryQuota
from piershore.telemetry import metrics


class RequestAttempts:
    """Choose an endpoint for each attempt, and keep the outcome of all attempts.

    `endpoint` is the name of the endpoint chosen last.

    Once an attempt may have run, no later refusal may claim that the request has not.
    """

    def __init__(self, links: AgentLinks, retries: RetryQuota) -> None:
        self._links = links
        self._retries = retries
        self._tried_endpoints: set[str] = set()
        self.endpoint = ""
        self._last_refusal: RequestRefusedError | None = None
        self._outcome = Outcome.NOT_RUN
        retries.record_request()

    def next_link(self, service: str, prompt: str = "") -> AgentLink:
        """Return the link for the next attempt.

        Raise the last refusal if no endpoint is left.
        """
        link = self._links.choose(service, prompt, self._tried_endpoints)
        if link is not None:
            self.endpoint = link.state.name
            self._tried_endpoints.add(self.endpoint)
            return link
        raise self._last_refusal or RequestRefusedError(
            RefusalReason.NO_ENDPOINT,
            f"no endpoint of {service} takes work now",
            retry_after=self._links.seconds_until_any_available(service)
            or DEFAULT_RETRY_AFTER_SECONDS,
        )

    def is_previous_refusal(self, error: RequestRefusedError) -> bool:
        """Return whether `error` is the previous attempt's refusal, raised again."""
        return error is self._last_refusal

    def record_failure(self, error: RequestRefusedError) -> None:
        """Spend a retry on a failed attempt; raise `error` if none is allowed."""
        if error.outcome is not Outcome.NOT_RUN:
            self._outcome = error.outcome
        error.outcome = self._outcome
        # The previous refusal was raised again: no endpoint was left to send to.
        if self.is_previous_refusal(error) or error.reason not in RETRYABLE_REASONS:
            raise error
        if not self._retries.spend():
            reason = RefusalReason.RETRY_BUDGET_SPENT
            metrics.REFUSALS.labels(reason=reason, outcome=error.outcome).inc()
            raise error
        metrics.RETRIES.labels(reason=error.reason).inc()
        if error.retry_after is None:
            error.retry_after = DEFAULT_RETRY_AFTER_SECONDS
        self._last_refusal = error
