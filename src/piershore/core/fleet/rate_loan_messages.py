"""Messages by which gateways lend each other parts of endpoints' rates."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from piershore.core.fleet.peer_report import InvalidReportError
from piershore.core.fleet.rate_loans import Loan, LoanTerms
from piershore.core.numbers import checked_integer, checked_number

LOAN_REQUEST_PREFIX = b"?"
LOAN_GRANT_PREFIX = b"="
"""First bytes of the datagrams; reports start with a bracket."""
MAX_LOANS = 256
"""Endpoints in one message."""
MAX_REQUESTS = 1_000_000
"""Requests in one loan."""


@dataclass(frozen=True)
class LoanMessage:
    """A request for loans, or the grant of them.

    `number` is that of the request, by which its sender knows when it was sent.
    """

    host: str
    number: int
    loans: tuple[Loan, ...]

    def encode(self, prefix: bytes) -> bytes:
        """Return the message as a datagram."""
        loans = [
            [loan.endpoint, loan.terms.rate, loan.terms.gateways, loan.requests]
            for loan in self.loans
        ]
        return prefix + orjson.dumps([self.host, self.number, loans])

    @classmethod
    def decode(cls, data: bytes) -> LoanMessage:
        """Decode a datagram; raise `InvalidReportError` if it isn't such a message."""
        try:
            host, number, loans = orjson.loads(data[1:])
            if len(loans) > MAX_LOANS:
                raise ValueError(f"over {MAX_LOANS} loans")
            return cls(
                str(host),
                checked_integer(number),
                tuple(_loan(*fields) for fields in loans),
            )
        except (ValueError, TypeError, OverflowError) as error:
            raise InvalidReportError(f"not a loan message: {error!r}") from error


def _loan(endpoint: object, rate: object, gateways: object, requests: object) -> Loan:
    terms = LoanTerms(checked_number(rate), checked_integer(gateways))
    return Loan(str(endpoint), terms, checked_integer(requests, MAX_REQUESTS))
