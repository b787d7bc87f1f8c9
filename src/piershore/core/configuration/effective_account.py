"""A client account merged with its template."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime

from piershore.core.configuration.objects import (
    AccountParameters,
    AccountTemplate,
    ClientAccount,
    WorkingHours,
)

WORKING_HOURS_BONUS = 100


@dataclass(frozen=True)
class EffectiveAccount:
    """Parameters in force for one client account."""

    name: str
    services: tuple[str, ...]
    working_hours: WorkingHours | None
    priorities: dict[str, int]
    non_repeatable_kinds: tuple[str, ...]
    requests_per_second: float | None
    concurrent_requests: int | None

    @classmethod
    def merge(
        cls, name: str, account: ClientAccount, template: AccountTemplate
    ) -> EffectiveAccount:
        """Return the template's parameters with the account's overrides."""
        base, over = template.parameters, account.overrides

        def pick(field: str) -> object:
            value = getattr(over, field)
            return getattr(base, field) if value is None else value

        return cls(
            name=name,
            services=account.services,
            working_hours=pick("working_hours"),
            priorities={**(base.priorities or {}), **(over.priorities or {})},
            non_repeatable_kinds=_merge_non_repeatable_kinds(base, over),
            requests_per_second=pick("requests_per_second"),
            concurrent_requests=pick("concurrent_requests"),
        )

    def priority(self, kind: str, moment: datetime) -> int:
        """Return the priority of a request of `kind` at the aware `moment`."""
        priority = self.priorities.get(kind, 0)
        if self.working_hours is not None and self.working_hours.contains(moment):
            priority += WORKING_HOURS_BONUS
        return priority


def _merge_non_repeatable_kinds(
    base: AccountParameters, over: AccountParameters
) -> tuple[str, ...]:
    # An override can add non-repeatable kinds, but not remove any.
    kinds = {*(base.non_repeatable_kinds or ()), *(over.non_repeatable_kinds or ())}
    return tuple(sorted(kinds))
