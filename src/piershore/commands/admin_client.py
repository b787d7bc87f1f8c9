"""Client for a gateway's admin API."""

from __future__ import annotations

import httpx

from piershore.commands.command import ExitCode
from piershore.commands.exceptions import CommandError
from piershore.commands.options import GATEWAY, KEY

TIMEOUT_SECONDS = 15.0
CONFLICT_STATUSES = (412, 428)


def call_admin(
    method: str,
    path: str,
    *,
    body: object = None,
    headers: dict[str, str] | None = None,
) -> dict:
    """Return the JSON answer; raise `CommandError` if the request fails.

    The error of a refused request has the code, findings and differences of the answer.
    """
    authorization = {"Authorization": f"Bearer {KEY.value or ''}"}
    try:
        response = httpx.request(
            method,
            f"{GATEWAY.value}/admin/v1/{path}",
            json=body,
            headers={**authorization, **(headers or {})},
            timeout=TIMEOUT_SECONDS,
            trust_env=False,
        )
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        message = f"{GATEWAY.value} can't be reached: {error}"
        raise CommandError(ExitCode.UNREACHABLE, message) from error
    if response.is_error:
        raise CommandError(_exit_code(response), _explain(response))
    return response.json()


def _exit_code(response: httpx.Response) -> ExitCode:
    if response.status_code in CONFLICT_STATUSES:
        return ExitCode.CONFLICT
    return ExitCode.REFUSED


def _explain(response: httpx.Response) -> str:
    try:
        problem = response.json()
    except ValueError:
        return f"HTTP {response.status_code}"
    lines = [f"{problem.get('code')}: {problem.get('detail')}"]
    lines.extend(f"  {finding}" for finding in problem.get("findings", ()))
    for difference in problem.get("differences", ()):
        path, yours = difference["path"], difference["yours"]
        lines.append(f"  {path}: yours {yours!r}, current {difference['current']!r}")
    return "\n".join(lines)
