"""A caller's request in progress."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

import trio

from piershore.core.attempts.request_digest import request_digest
from piershore.core.quarantine.request_fingerprint import RequestFingerprint
from piershore.core.quarantine.request_quarantine import RequestQuarantine
from piershore.core.quarantine.request_traits import request_traits
from piershore.core.routes.route import Route
from piershore.core.routes.serving_configuration import (
    AccountRef,
    ServingConfiguration,
)
from piershore.http1.server_connection import ServerConnection
from piershore.ingress.ports import CallerRequest, ForwardingOptions


@dataclass(frozen=True)
class Exchange:
    """A request with its route, according to the configuration at its arrival.

    `arrived` and `deadline` are times of trio's clock. `nursery` lives as long as
    the exchange; it is cancelled when the caller closes the connection.
    """

    connection: ServerConnection
    request: CallerRequest
    body: bytes
    route: Route
    account: AccountRef | None
    configuration: ServingConfiguration
    arrived: float
    deadline: float
    nursery: trio.Nursery

    @property
    def identity(self) -> str:
        """The id that the caller gave the request."""
        return self.request.identity

    @cached_property
    def content(self) -> str:
        """Digest that identifies the request when it is sent again under another id."""
        return request_digest(self.account_name, self.request.head.target, self.body)

    @cached_property
    def fingerprint(self) -> RequestFingerprint:
        """What the request is recognized by when it, or one like it, is sent again."""
        request = self.request
        traits = request_traits(self.account_name, request.model, request.shared_parts)
        return RequestFingerprint(self.content, traits)

    def seconds_until_release(self, quarantine: RequestQuarantine) -> float | None:
        """Return in how many seconds quarantine ends; None if not quarantined."""
        return quarantine.seconds_until_release(self.fingerprint, trio.current_time())

    @property
    def account_name(self) -> str:
        """The client account's name; empty if the route needs none."""
        return self.account.name if self.account else ""

    @property
    def age(self) -> float:
        """Seconds since the request arrived."""
        return trio.current_time() - self.arrived

    @property
    def time_left(self) -> float:
        """Seconds until the final answer is due."""
        return self.deadline - trio.current_time()

    @property
    def priority(self) -> int:
        """The account's priority or else the route's; 0 is the highest."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def forwarding_options(self, **extra) -> ForwardingOptions:
        """Return what is added to the request when it is forwarded now."""
        return ForwardingOptions(
            time_left=self.time_left, account=self.account, **extra
        )
