"""All links of a gateway, kept in line with the announced endpoints."""

from __future__ import annotations

from collections import defaultdict, OrderedDict
from collections.abc import Collection, Iterator
from random import Random

import trio

from piershore.core.configuration.config_view import ConfigView
from piershore.core.configuration.objects import (
    EndpointStatus,
    ObjectKind,
    ServiceType,
)
from piershore.core.ownership.interval import SlotInterval
from piershore.core.routing.aperture import choose_aperture
from piershore.core.routing.endpoint_state import EndpointState
from piershore.core.routing.load_balancing_policy import LOAD_BALANCING_POLICIES
from piershore.gateway.agent_link import AgentLink

MAX_ON_DEMAND_LINKS = 32


class AgentLinks:
    """Keep links to the endpoints of the aperture and to endpoints used on demand.

    `aperture` bounds the number of endpoints for each model service. For a plain
    service, all endpoints are linked, since any of their agents may own a caller's key.
    """

    def __init__(
        self,
        gateway: str,
        data_hall: str,
        policy: str,
        aperture: int,
        config: ConfigView,
    ) -> None:
        self._gateway = gateway
        self._data_hall = data_hall
        self._aperture = aperture
        self._on_demand: OrderedDict[str, None] = OrderedDict()
        self._nursery: trio.Nursery | None = None
        self._config = config
        self._policy = LOAD_BALANCING_POLICIES[policy](data_hall, Random())
        self._links: dict[str, AgentLink] = {}
        self._retired: set[AgentLink] = set()
        self._leaving: frozenset[str] = frozenset()
        self._changed = trio.Event()
        config.add_listener(lambda change: self._changed.set())

    @property
    def all(self) -> tuple[AgentLink, ...]:
        """All links, open or not."""
        return tuple(self._links.values())

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self._changed = trio.Event()
                self._update_links()
                for link in self.all:
                    link.send_config_changes()
                await self._changed.wait()
                # Let the rest of a batch of changes arrive before it is forwarded.
                await trio.sleep(0)

    def set_leaving_boxes(self, names: Collection[str]) -> None:
        """Set the boxes that are leaving according to the platform."""
        self._leaving = frozenset(names)

    def find_or_open(self, endpoint: str, incarnation: str) -> AgentLink | None:
        """Return the link to an agent's incarnation, opening it if necessary."""
        link = self.find(endpoint, incarnation)
        status = self._config.get(ObjectKind.ENDPOINT, endpoint)
        if link is not None or status is None or status.incarnation != incarnation:
            return link
        self._on_demand[endpoint] = None
        while len(self._on_demand) > MAX_ON_DEMAND_LINKS:
            self._on_demand.popitem(last=False)
        self._update_links()
        return self.find(endpoint, incarnation)

    def find(self, endpoint: str, incarnation: str) -> AgentLink | None:
        """Return the link to an agent's incarnation, even a retired one."""
        for link in (*self._links.values(), *self._retired):
            process = (link.state.name, link.newest_incarnation)
            if process == (endpoint, incarnation):
                return link
        return None

    def of_service(self, service: str) -> Iterator[AgentLink]:
        """Yield all links to a service's endpoints."""
        for link in self._links.values():
            if link.state.service == service:
                yield link

    def intervals(self, service: str) -> Iterator[SlotInterval]:
        """Yield the intervals of a service's agents that accept new requests."""
        for link in self.of_service(service):
            if self._accepts_requests(link.state):
                yield from link.intervals

    def all_intervals(self, service: str) -> Iterator[SlotInterval]:
        """Yield the intervals of a service's connected agents, even leaving ones."""
        for link in (*self._links.values(), *self._retired):
            if link.state.service == service and link.state.is_open:
                yield from link.intervals

    def choose(
        self, service: str, prompt: str, excluded: Collection[str]
    ) -> AgentLink | None:
        """Return the link for a new request, or None if no endpoint accepts it."""
        states = [
            link.state
            for link in self.of_service(service)
            if self._accepts_requests(link.state) and link.state.name not in excluded
        ]
        if not states:
            return None
        return self._links[self._policy.choose(states, prompt).name]

    def seconds_until_any_available(self, service: str) -> float | None:
        """Return the seconds until the first backoff ends, if all endpoints back off.

        Drained and leaving endpoints aren't considered. None means that an endpoint
        accepts requests, or that there is none.
        """
        now = trio.current_time()
        left = [
            link.state.rest.seconds_left(now)
            for link in self.of_service(service)
            if link.state.takes_work and self._is_staying(link.state)
        ]
        return min(left, default=0.0) or None

    def _accepts_requests(self, state: EndpointState) -> bool:
        is_backing_off = state.rest.seconds_left(trio.current_time()) > 0
        return state.takes_work and not is_backing_off and self._is_staying(state)

    def _is_staying(self, state: EndpointState) -> bool:
        status = self._config.get(ObjectKind.ENDPOINT, state.name)
        is_drained = status is None or status.drain
        return not is_drained and state.name not in self._leaving

    def _update_links(self) -> None:
        wanted = self._wanted_endpoints()
        for name, status in wanted.items():
            link = self._links.get(name)
            if link is not None and link.update_status(status):
                continue
            if link is not None:
                self._retire(name)
            self._open(name, status)
        for name in set(self._links) - set(wanted):
            self._retire(name)

    def _wanted_endpoints(self) -> dict[str, EndpointStatus]:
        announced = dict(self._config.all(ObjectKind.ENDPOINT))
        data_halls: dict[str, dict[str, str]] = defaultdict(dict)
        for name, status in announced.items():
            data_halls[status.service][name] = status.data_hall
        names = {name for name in self._on_demand if name in announced}
        for service, service_halls in data_halls.items():
            names |= self._aperture_of(service, service_halls)
        return {name: announced[name] for name in names}

    def _aperture_of(self, service: str, data_halls: dict[str, str]) -> frozenset[str]:
        spec = self._config.get(ObjectKind.SERVICE, service)
        if spec is None or spec.type is ServiceType.PLAIN:
            return frozenset(data_halls)
        return choose_aperture(
            self._gateway, self._data_hall, data_halls, self._aperture
        )

    def _open(self, name: str, status: EndpointStatus) -> None:
        link = AgentLink(self._gateway, name, status, self._config)
        self._links[name] = link
        self._nursery.start_soon(self._run_link, link)

    async def _run_link(self, link: AgentLink) -> None:
        await link.run()
        self._retired.discard(link)

    def _retire(self, name: str) -> None:
        link = self._links.pop(name)
        self._retired.add(link)
        link.retire()
