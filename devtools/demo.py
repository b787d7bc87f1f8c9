"""The demo: both deployments on stand-ins, an edit and a drain under load."""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from random import Random

from tabulate import tabulate

from devtools.caller import Caller, Result
from devtools.deployment import Deployment, wait_until

SEED = 7
REQUESTS_PER_KIND = 12
PARALLEL_CALLERS = 24
GATEWAYS = ("gateway-1", "gateway-2")


@dataclass(frozen=True)
class Workload:
    """What one deployment's callers ask for; lengths are in tokens."""

    deployment: str
    account: str
    model: str
    long_kind: str
    short_kind: str
    service: str
    once_kind: str
    plain_kind: str
    halls: tuple[str, str]


WORKLOADS = (
    Workload(
        "adebayo",
        "surulere",
        "design-review",
        "fabrication_report",
        "stack_up_check",
        "order-desk",
        "order_lookup",
        "panel_status",
        ("ikeja", "lekki"),
    ),
    Workload(
        "navrang",
        "maninagar",
        "drafting",
        "draft",
        "tag",
        "portal",
        "contact_reveal",
        "listing_page",
        ("amd-hall-a", "gnr-hall"),
    ),
)


def main() -> int:
    """Run the demo; return 0 if every answer was whole and nothing doubled."""
    deployment = Deployment()
    try:
        start(deployment)
        return serve(deployment)
    finally:
        deployment.close()


def start(deployment: Deployment) -> None:
    """Start all processes and load the examples."""
    deployment.start_platform()
    halls = (WORKLOADS[0].halls[0], WORKLOADS[1].halls[0])
    for gateway, hall in zip(GATEWAYS, halls, strict=True):
        deployment.start_gateway(gateway, hall)
    for gateway in GATEWAYS:
        deployment.wait_ready(gateway)
    for workload in WORKLOADS:
        deployment.load_examples(GATEWAYS[0], workload.deployment)
        for number, hall in enumerate(workload.halls, start=1):
            for service in (workload.model, workload.service):
                start_endpoint(deployment, workload, service, number, hall)
    deployment.wait_standins()
    boxes = len(GATEWAYS) + 4 * len(WORKLOADS)
    for gateway in GATEWAYS:
        deployment.wait_boxes(gateway, boxes)
        for workload in WORKLOADS:
            wait_for_keys(deployment, gateway, workload)


def start_endpoint(
    deployment: Deployment, workload: Workload, service: str, number: int, hall: str
) -> None:
    """Start an endpoint's stand-in and its agent."""
    endpoint = f"{service}-endpoint-{number}"
    if service == workload.model:
        deployment.start_engine(endpoint)
    else:
        deployment.start_service(endpoint)
    deployment.start_agent(f"{service}-{number}", service, hall, endpoint)


def wait_for_keys(deployment: Deployment, gateway: str, workload: Workload) -> None:
    """Wait until non-repeatable calls have owners."""
    url = f"{deployment.url(gateway)}/v1/keys/{workload.service}"
    headers = {"Authorization": f"Bearer key-{workload.account}"}
    wait_until(
        lambda: deployment.client.post(url, headers=headers).is_success,
        f"owners of {workload.service}",
    )


def serve(deployment: Deployment) -> int:
    """Put the load on, edit and drain meanwhile, and print what came of it."""
    callers = {
        (gateway, workload.account): Caller(
            deployment.url(gateway), f"key-{workload.account}"
        )
        for gateway in GATEWAYS
        for workload in WORKLOADS
    }
    with ThreadPoolExecutor(PARALLEL_CALLERS) as pool:
        futures = [pool.submit(job) for job in jobs(callers, Random(SEED))]
        in_force = edit_account(deployment)
        drained = drain_endpoint(deployment)
        results = [collect(future) for future in futures]
    for caller in callers.values():
        caller.close()
    doubled = count_doubled(deployment)
    report(results, in_force, drained, doubled)
    whole = all(result.is_whole for result in results)
    return 0 if whole and in_force and drained and not doubled else 1


def jobs(callers: dict, random: Random) -> Iterator[partial]:
    """Yield all requests in a mixed order."""
    planned = []
    for (_, account), caller in callers.items():
        workload = next(w for w in WORKLOADS if w.account == account)
        model, service = workload.model, workload.service
        for number in range(REQUESTS_PER_KIND):
            tag = f"{account}-{number}-{random.random()}"
            length = int(random.lognormvariate(4.5, 0.8)) + 20
            long, short = workload.long_kind, workload.short_kind
            planned += [
                partial(caller.stream, model, long, length, tag),
                partial(caller.generate, model, short, random.randint(5, 40), tag),
                partial(caller.call, service, workload.once_kind, tag=tag),
                partial(caller.call, service, workload.plain_kind, tag=tag),
            ]
    random.shuffle(planned)
    yield from planned


def collect(future: Future[Result]) -> Result:
    """Return a request's result; a broken connection is a fault."""
    try:
        return future.result()
    except Exception as error:  # noqa: BLE001 - any failure is a fault to report
        return Result("request", 0, fault=repr(error))


def edit_account(deployment: Deployment) -> str:
    """Edit an account at one gateway; return how long until it was in force."""
    gateway = GATEWAYS[1]
    etag = deployment.admin(gateway, "GET", "accounts/yaba").headers["ETag"]
    changes = {"overrides": {"concurrent_requests": 99}}
    started = time.monotonic()
    answer = deployment.admin(
        gateway, "PATCH", "accounts/yaba", changes, {"If-Match": etag}
    )
    answer.raise_for_status()
    path = f"rollout/{answer.json()['version']}"

    def is_in_force() -> bool:
        rollout = deployment.admin(gateway, "GET", path).json()
        return not rollout["lagging"] and not rollout["silent"]

    wait_until(is_in_force, "the edit to be in force")
    return f"{time.monotonic() - started:.2f} s"


def drain_endpoint(deployment: Deployment) -> bool:
    """Drain one endpoint under load; tell whether its agent ended well."""
    name = f"{WORKLOADS[0].model}-1"
    deployment.admin(GATEWAYS[0], "POST", f"endpoints/{name}/drain").raise_for_status()
    return deployment.process(name).wait() == 0


def count_doubled(deployment: Deployment) -> int:
    """Return how many non-repeatable calls were executed more than once."""
    doubled = 0
    for workload in WORKLOADS:
        runs: Counter[str] = Counter()
        for number in range(1, len(workload.halls) + 1):
            url = deployment.url(f"{workload.service}-endpoint-{number}")
            keys = deployment.client.get(f"{url}/_executions").json()["keys"]
            runs.update({key: count for key, count in keys.items() if key})
        doubled += sum(count > 1 for count in runs.values())
    return doubled


def report(results: list[Result], in_force: str, drained: bool, doubled: int) -> None:
    """Print the table."""
    labels = sorted({result.label for result in results})
    rows = []
    for label in labels:
        own = [result for result in results if result.label == label]
        codes = Counter(r.code or r.fault for r in own if not r.is_whole)
        problems = ", ".join(f"{code} x{n}" for code, n in codes.items()) or "-"
        rows.append((label, len(own), sum(r.is_whole for r in own), problems))
    print(tabulate(rows, headers=("request kind", "sent", "whole", "not whole")))
    print()
    print(f"edit of an account in force on all boxes after {in_force}")
    print(f"endpoint drained under load, its agent ended well: {drained}")
    print(f"non-repeatable calls executed more than once: {doubled}")


if __name__ == "__main__":
    sys.exit(main())
