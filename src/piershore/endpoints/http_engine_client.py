"""Client for a model engine over HTTP that streams lines of JSON."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Any

import httpx
import orjson

from piershore.core.ports import (
    CacheEvent,
    EngineClient,
    EngineLoad,
    EngineTokens,
    GenerationRequest,
)
from piershore.endpoints.endpoint_transport import bounded_lines, EndpointTransport
from piershore.endpoints.exceptions import (
    EngineBackoffError,
    EngineLostError,
    EngineStalledError,
    EngineUnknownGenerationError,
)
from piershore.http1.rate_limit import lowest_rate, RATE_LIMIT
from piershore.http1.retry_after import longest_backoff, RETRY_AFTER

CALL_TIMEOUT_SECONDS = 2.0


def _requested_backoff(response: httpx.Response) -> float | None:
    """Return the seconds for which the engine asks callers to back off, if it does."""
    if response.status_code != httpx.codes.SERVICE_UNAVAILABLE:
        return None
    return longest_backoff(response.headers.get_list(RETRY_AFTER))


def _ignore_rate(rate: float | None) -> None:
    """Ignore a rate while no listener is set."""


class HttpEngineClient(EngineClient):
    """Streams generations from one engine; `stall_timeout` is in seconds."""

    def __init__(self, base_url: str, stall_timeout: float) -> None:
        self._stream_timeout = httpx.Timeout(CALL_TIMEOUT_SECONDS, read=stall_timeout)
        self._transport = EndpointTransport(CALL_TIMEOUT_SECONDS)
        self._client = httpx.AsyncClient(
            base_url=base_url, timeout=CALL_TIMEOUT_SECONDS, transport=self._transport
        )
        self._on_rate: Callable[[float | None], None] = _ignore_rate

    def set_rate_listener(self, on_rate: Callable[[float | None], None]) -> None:
        """Call `on_rate` with the requests per second in each answer, or None."""
        self._on_rate = on_rate

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def generate(self, request: GenerationRequest) -> AsyncIterator[EngineTokens]:
        """Start a generation and stream its tokens."""
        body = {
            "id": request.identity,
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
            "priority": request.priority,
        }
        async for tokens in self._stream("POST", "/v1/generations", body):
            yield tokens

    async def resume(self, identity: str, index: int) -> AsyncIterator[EngineTokens]:
        """Stream a running generation again from `index` on."""
        path = f"/v1/generations/{identity}?from={index}"
        async for tokens in self._stream("GET", path, None):
            yield tokens

    async def cancel(self, identity: str) -> None:
        """Stop a generation; an engine that has crashed has stopped it already.

        Raise `EngineLostError` if the engine is unreachable.
        """
        try:
            path = f"/v1/generations/{identity}"
            async with self._client.stream("DELETE", path) as response:
                await self._transport.read_whole(response)
        except httpx.HTTPError as error:
            raise EngineLostError("the engine can't be reached") from error

    async def load(self) -> EngineLoad:
        """Return the engine's last load report."""
        body = await self._get("/v1/load")
        return EngineLoad(
            capacity_tokens=body["capacity_tokens"],
            used_tokens=body["used_tokens"],
            running=body["running"],
            preemptions=body["preemptions"],
        )

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a number; hints only."""
        body = await self._get(f"/v1/cache-events?after={after}")
        return tuple(
            CacheEvent(item["number"], item["prefix"], item["cached"]) for item in body
        )

    async def _get(self, path: str) -> Any:
        try:
            async with self._client.stream("GET", path) as response:
                response.raise_for_status()
                return orjson.loads(await self._transport.read_whole(response))
        except httpx.HTTPError as error:
            raise EngineLostError("the engine can't be reached") from error
        except orjson.JSONDecodeError as error:
            raise EngineLostError("the engine's answer is not JSON") from error

    async def _stream(
        self, method: str, path: str, body: dict | None
    ) -> AsyncIterator[EngineTokens]:
        content = None if body is None else orjson.dumps(body)
        is_open = False
        is_complete = False
        try:
            async with self._client.stream(
                method, path, content=content, timeout=self._stream_timeout
            ) as response:
                self._on_rate(lowest_rate(response.headers.get_list(RATE_LIMIT)))
                if response.status_code == httpx.codes.NOT_FOUND:
                    raise EngineUnknownGenerationError(
                        "the engine doesn't know the generation"
                    )
                backoff = _requested_backoff(response)
                if backoff is not None and method == "POST":
                    raise EngineBackoffError(
                        "the engine asks callers to back off", backoff
                    )
                if response.is_error:
                    raise EngineLostError(
                        f"the engine answered with status {response.status_code}"
                    )
                is_open = True
                async for line in bounded_lines(response):
                    item = orjson.loads(line)
                    if "end" in item:
                        is_complete = True
                        break
                    yield EngineTokens(item["i"], tuple(item["t"]))
        except httpx.ReadTimeout as error:
            if is_open:
                raise EngineStalledError("the engine's stream stalled") from error
            raise EngineLostError("the engine didn't answer in time") from error
        except httpx.HTTPError as error:
            raise EngineLostError("the engine's stream broke") from error
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            raise EngineLostError("the engine sent an invalid line") from error
        if not is_complete:
            raise EngineLostError("the engine's stream ended before its last line")
