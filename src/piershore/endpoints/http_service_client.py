"""Client for a plain service over HTTP."""

from __future__ import annotations

import httpx

from piershore.core.ownership.claim import Answer
from piershore.core.ports import ServiceClient
from piershore.endpoints.endpoint_transport import EndpointTransport
from piershore.endpoints.exceptions import CallNotSentError, CallOutcomeUnknownError
from piershore.http1.rate_limit import lowest_rate, RATE_LIMIT
from piershore.http1.retry_after import longest_backoff, RETRY_AFTER

CONNECT_TIMEOUT_SECONDS = 2.0
ANSWER_TIMEOUT_SECONDS = 30.0


class HttpServiceClient(ServiceClient):
    """Calls one plain service."""

    def __init__(self, base_url: str) -> None:
        self._transport = EndpointTransport(CONNECT_TIMEOUT_SECONDS)
        self._client = httpx.AsyncClient(
            base_url=base_url,
            timeout=ANSWER_TIMEOUT_SECONDS,
            transport=self._transport,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def call(self, key: str, kind: str, body: bytes) -> Answer:
        """Execute one call."""
        headers = {"Content-Type": "application/json"}
        if key:
            headers["Idempotency-Key"] = key
        try:
            async with self._client.stream(
                "POST", f"/call/{kind}", content=body, headers=headers
            ) as response:
                content = await self._transport.read_whole(response)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise CallNotSentError("the service is unreachable") from error
        except httpx.HTTPError as error:
            raise CallOutcomeUnknownError(
                "the call failed before the service's answer was complete"
            ) from error
        backoff = None
        if response.status_code == httpx.codes.SERVICE_UNAVAILABLE:
            backoff = longest_backoff(response.headers.get_list(RETRY_AFTER))
        rate = lowest_rate(response.headers.get_list(RATE_LIMIT))
        return Answer(response.status_code, content, backoff, rate)
