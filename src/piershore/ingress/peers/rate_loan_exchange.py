"""Requests for parts of endpoints' rates to peers, and grants to them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import replace

import trio

from piershore.core.fleet.endpoint import Endpoint
from piershore.core.fleet.rate_lending import MIN_REQUEST_INTERVAL_SECONDS, RateLending
from piershore.core.fleet.rate_loan_messages import (
    LOAN_GRANT_PREFIX,
    LOAN_REQUEST_PREFIX,
    LoanMessage,
    MAX_LOANS,
)
from piershore.core.fleet.rate_loans import Loan, LOAN_SECONDS
from piershore.ingress.gateway_state import GatewayState
from piershore.ingress.peers.peer_link import PeerLink
from piershore.telemetry import ingress_metrics


class RateLoanExchange:
    """Borrows from peers where this gateway's quotas are used up, and lends to them."""

    def __init__(self, state: GatewayState, link: PeerLink) -> None:
        self._state = state
        self._link = link
        self._lending = RateLending(state.limits, state.rate_shares, state.random)
        self._requested_at: dict[int, float] = {}
        self._nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Set the nursery to send in, and start to receive messages of peers."""
        self._nursery = nursery
        self._link.add_handler(LOAN_REQUEST_PREFIX, self._receive_request)
        self._link.add_handler(LOAN_GRANT_PREFIX, self._receive_grant)

    async def run(self) -> None:
        """Request loans that are due, until cancelled."""
        while True:
            await trio.sleep(MIN_REQUEST_INTERVAL_SECONDS)
            now = trio.current_time()
            for number, requested_at in list(self._requested_at.items()):
                if now - requested_at > LOAN_SECONDS:
                    del self._requested_at[number]
            await self._request(now)

    async def _request(self, now: float) -> None:
        limited = list(self._limited_endpoints())
        self._lending.drop_removed({e.identity for e in limited})
        loans: dict[str, list[Loan]] = defaultdict(list)
        for lender, loan in self._lending.requests(limited, now):
            loans[lender].append(loan)
        if not loans:
            return
        number = self._link.next_number()
        self._requested_at[number] = now
        for host, requested in loans.items():
            message = LoanMessage(self._link.host, number, tuple(requested[:MAX_LOANS]))
            ingress_metrics.LOAN_REQUESTS.inc()
            await self._link.send_to(host, message.encode(LOAN_REQUEST_PREFIX))

    def _limited_endpoints(self) -> Iterator[Endpoint]:
        directory = self._state.directory
        return filter(None, map(directory.get, list(self._state.limits.limited())))

    def _receive_request(self, data: bytes) -> None:
        request = LoanMessage.decode(data)
        if request.host not in self._state.subsets.peers or self._state.is_leaving:
            return
        now = trio.current_time()
        grants = tuple(
            grant
            for loan in request.loans
            if (grant := self._lend(loan, request.host, now)) is not None
        )
        if grants and self._nursery is not None:
            answer = LoanMessage(self._link.host, request.number, grants)
            data = answer.encode(LOAN_GRANT_PREFIX)
            self._nursery.start_soon(self._link.send_to, request.host, data)

    def _lend(self, loan: Loan, borrower: str, now: float) -> Loan | None:
        directory = self._state.directory
        endpoint = directory.get(loan.endpoint)
        if endpoint is None:
            return None
        service = directory.of_service(endpoint.service)
        requests = self._lending.offer(endpoint, service, borrower, loan, now)
        return replace(loan, requests=requests) if requests else None

    def _receive_grant(self, data: bytes) -> None:
        grant = LoanMessage.decode(data)
        requested_at = self._requested_at.get(grant.number)
        if requested_at is None:
            return
        for loan in grant.loans:
            self._state.limits.loans.borrow(grant.host, loan, requested_at)
