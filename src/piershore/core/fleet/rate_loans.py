"""Parts of endpoints' rates that gateways lend each other for a short time.

A loan is used by one gateway at a time. The lender gives it up before it grants it, and
takes it back only when the borrower can't have used it within a window any more. The
borrower counts its time from its own request, so that a late grant is used for less.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

LOAN_SECONDS = 1.5
"""How long a loan may be used after it was requested; some requests to renew it may get
lost."""


@dataclass(frozen=True)
class LoanTerms:
    """What lender and borrower must agree on: the rate, and how many share it."""

    rate: float
    gateways: int


@dataclass(frozen=True)
class Loan:
    """Some requests in each window at an endpoint."""

    endpoint: str
    terms: LoanTerms
    requests: int


@dataclass(frozen=True)
class _Loan:
    """`requests` in each window, until a time; under `terms` if they are borrowed."""

    requests: int
    until: float
    terms: LoanTerms | None = None


@dataclass
class RateLoans:
    """What this gateway has lent and borrowed, by endpoint and the other gateway."""

    _lent: dict[str, dict[str, list[_Loan]]] = field(default_factory=dict)
    _borrowed: dict[str, dict[str, _Loan]] = field(default_factory=dict)

    def lend(
        self,
        identity: str,
        borrower: str,
        requests: int,
        window: float,
        now: float,
    ) -> None:
        """Record that requests at an endpoint are lent from now on.

        `window` is the window of the quota and the time by which requests may overtake
        each other, in seconds.
        """
        loans = self._lent.setdefault(identity, {}).setdefault(borrower, [])
        loans[:] = [n for n in loans if n.until > now and n.requests > requests]
        loans.append(_Loan(requests, now + LOAN_SECONDS + window))

    def lent(self, identity: str, now: float, besides: str = "") -> int:
        """Return how many requests are lent to gateways other than `besides`."""
        borrowers = self._lent.get(identity, {})
        return sum(
            max((loan.requests for loan in loans if loan.until > now), default=0)
            for borrower, loans in borrowers.items()
            if borrower != besides
        )

    def seconds_until_return(self, identity: str, now: float) -> float:
        """Return the seconds until the first loan at an endpoint ends; 0 if none is."""
        times = (loan.until - now for loan in self._loans_at(identity))
        return min((seconds for seconds in times if seconds > 0), default=0.0)

    def borrow(self, lender: str, loan: Loan, requested_at: float) -> None:
        """Record a loan that was requested at a time; it replaces the lender's last."""
        borrowed = _Loan(loan.requests, requested_at + LOAN_SECONDS, loan.terms)
        loans = self._borrowed.setdefault(loan.endpoint, {})
        last = loans.get(lender)
        if last is None or last.until < borrowed.until:
            loans[lender] = borrowed

    def borrowed(self, identity: str, terms: LoanTerms, now: float) -> int:
        """Return how many borrowed requests may be used under these terms."""
        return sum(
            loan.requests
            for loan in self._borrowed.get(identity, {}).values()
            if loan.until > now and loan.terms == terms
        )

    def lenders(self, identity: str, now: float) -> list[str]:
        """Return the gateways that lend this one requests at an endpoint."""
        loans = self._borrowed.get(identity, {})
        return [h for h, loan in loans.items() if loan.until > now and loan.requests]

    def forget(self, identity: str) -> None:
        """Drop the loans at an endpoint that was removed."""
        self._lent.pop(identity, None)
        self._borrowed.pop(identity, None)

    def drop_expired(self, now: float) -> None:
        """Drop loans that have ended."""
        for borrowers in self._lent.values():
            for borrower, loans in list(borrowers.items()):
                loans[:] = [loan for loan in loans if loan.until > now]
                if not loans:
                    del borrowers[borrower]
        for lenders in self._borrowed.values():
            for lender, loan in list(lenders.items()):
                if loan.until <= now:
                    del lenders[lender]
        for table in (self._lent, self._borrowed):
            for identity in [i for i, loans in table.items() if not loans]:
                del table[identity]

    def _loans_at(self, identity: str) -> Iterator[_Loan]:
        for loans in self._lent.get(identity, {}).values():
            yield from loans
