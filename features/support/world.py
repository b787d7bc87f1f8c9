"""The state of a scenario: its deployment, callers, streams and link relays."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor
from threading import Event, Thread

from devtools.caller import Caller, read_events, Result, token_fault
from devtools.deployment import Deployment, wait_until
from devtools.link_relay import LinkRelay

MODEL = "design-review"
SERVICE = "order-desk"
ONCE_KIND = "order_lookup"
PLAIN_KIND = "panel_status"
GATEWAYS = {"gateway-1": "ikeja", "gateway-2": "lekki"}
ENDPOINT_NUMBERS = (1, 2)
AGENT_COUNT = 2 * len(ENDPOINT_NUMBERS)
OWNERSHIP = {"lease_length": 2_000, "takeover_grace": 200}


class BackgroundStream:
    """A streamed answer that is read in a thread."""

    def __init__(self, caller: Caller, length: int, last_id: str = "") -> None:
        self._caller = caller
        self._length = length
        self._resume_from = last_id
        self.text = ""
        self.last_id = last_id
        self.problem = None
        self.finished = False
        self.broken = False
        self.status = 0
        self.reading_allowed = Event()
        self.reading_allowed.set()
        self._thread = Thread(target=self._read, daemon=True)
        self._thread.start()

    @property
    def count(self) -> int:
        return len(self.text.split())

    @property
    def endpoint(self) -> str:
        return self.last_id.partition("/")[0]

    def wait_for_tokens(self, count: int) -> None:
        wait_until(
            lambda: self.count >= count or not self._thread.is_alive(),
            f"{count} tokens",
        )

    def join(self) -> None:
        self._thread.join(90)
        assert not self._thread.is_alive(), "the stream has not ended"

    def fault(self) -> str:
        return token_fault(self.text, self._length)

    def prefix_fault(self) -> str:
        return token_fault(self.text, self.count) if self.text else ""

    def _read(self) -> None:
        try:
            with self._caller.open_stream(
                MODEL, "fabrication_report", self._length, "", self._resume_from
            ) as response:
                self.status = response.status_code
                if response.is_error:
                    response.read()
                    self.problem = response.json()
                    return
                for event in read_events(response):
                    self.text += event.text
                    self.last_id = event.event_id or self.last_id
                    self.problem = event.problem or self.problem
                    self.finished = self.finished or event.finish == "stop"
                    self.reading_allowed.wait()
        except Exception:
            self.broken = True


class World:
    """The deployment of one scenario and what was sent to it."""

    def __init__(self) -> None:
        self.deployment = Deployment()
        self.callers: list[Caller] = []
        self.relays: dict[str, LinkRelay] = {}
        self.pool = ThreadPoolExecutor(32)
        self.streams: list[BackgroundStream] = []
        self.results: list[Result] = []
        self.values: dict = {}
        self.has_all_links = True

    def close(self) -> None:
        for relay in self.relays.values():
            relay.close()
        self.deployment.close()
        for caller in self.callers:
            caller.close()
        self.pool.shutdown(wait=False, cancel_futures=True)

    def print_logs(self) -> None:
        for name, process in self.deployment.processes.items():
            print(f"== {name} (running: {process.is_running})")
            print(process.output[-3000:])

    def start(
        self,
        *,
        relayed: bool = False,
        standins_only: bool = False,
        aperture: int = 32,
    ) -> None:
        """Start a small deployment with the example configuration `adebayo`.

        Agents are reached over relays if `relayed`; only the platform, engines and
        services run if `standins_only`. Each gateway links to at most `aperture`
        endpoints of a service.
        """
        deployment = self.deployment
        self.has_all_links = aperture >= len(ENDPOINT_NUMBERS)
        deployment.start_platform()
        for number in ENDPOINT_NUMBERS:
            deployment.start_engine(f"engine-{number}")
            deployment.start_service(f"desk-{number}")
        if standins_only:
            deployment.wait_standins()
            return
        for gateway, data_hall in GATEWAYS.items():
            deployment.start_gateway(gateway, data_hall, aperture=aperture)
        for number in ENDPOINT_NUMBERS:
            self.start_agent(f"review-{number}", relayed=relayed)
            self.start_agent(f"order-{number}", relayed=relayed)
        deployment.wait_standins()
        for gateway in GATEWAYS:
            deployment.wait_ready(gateway)
        deployment.load_examples("gateway-1", "adebayo")
        self.wait_until_serving()

    def start_agent(self, name: str, *, relayed: bool = False) -> None:
        kind, _, number = name.partition("-")
        service = MODEL if kind == "review" else SERVICE
        endpoint = f"engine-{number}" if kind == "review" else f"desk-{number}"
        settings: dict = {"ownership": OWNERSHIP, "stall_timeout": 2.0}
        if relayed:
            relay = LinkRelay(self.deployment.reserve_address(name))
            self.relays[name] = relay
            settings["advertise"] = relay.address
        self.deployment.start_agent(name, service, "ikeja", endpoint, **settings)

    def wait_until_serving(self, boxes: int = 6) -> None:
        for gateway in GATEWAYS:
            self.deployment.wait_boxes(gateway, boxes)
            if self.has_all_links:
                self.deployment.wait_links(gateway, AGENT_COUNT)
            self.wait_for_owners(gateway)

    def wait_for_owners(self, gateway: str) -> None:
        """Wait until a gateway issues keys for non-repeatable calls."""
        url = f"{self.deployment.url(gateway)}/v1/keys/{SERVICE}"
        headers = {"Authorization": "Bearer key-surulere"}
        client = self.deployment.client
        wait_until(
            lambda: client.post(url, headers=headers).is_success,
            f"owners at {gateway}",
        )

    def caller(self, gateway: str = "gateway-1", account: str = "surulere") -> Caller:
        caller = Caller(self.deployment.url(gateway), f"key-{account}")
        self.callers.append(caller)
        return caller

    def stream(self, length: int, gateway: str = "gateway-1", last_id: str = ""):
        stream = BackgroundStream(self.caller(gateway), length, last_id)
        self.streams.append(stream)
        return stream

    def submit(self, function, *arguments, **keywords) -> Future:
        return self.pool.submit(function, *arguments, **keywords)

    def call_once(
        self, gateway: str = "gateway-1", key: str | None = None, **arguments
    ) -> Result:
        return self.caller(gateway).call(SERVICE, ONCE_KIND, key, **arguments)

    def executions(self) -> Counter:
        """Return how often all services together have executed each key."""
        return self._execution_counts("keys")

    def tags(self) -> Counter:
        return self._execution_counts("tags")

    def _execution_counts(self, kind: str) -> Counter:
        total: Counter = Counter()
        for number in ENDPOINT_NUMBERS:
            url = f"{self.deployment.url(f'desk-{number}')}/_executions"
            total.update(self.deployment.client.get(url).json()[kind])
        return total

    def owner_of(self, key: str) -> str:
        """Return the agent whose service has executed `key`."""
        for number in ENDPOINT_NUMBERS:
            url = f"{self.deployment.url(f'desk-{number}')}/_executions"
            if self.deployment.client.get(url).json()["keys"].get(key):
                return f"order-{number}"
        raise AssertionError(f"{key} was executed nowhere")
