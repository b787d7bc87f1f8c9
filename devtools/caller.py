"""A caller of the HTTP API that checks what it gets."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import httpx
import orjson

TIMEOUT_SECONDS = 120.0
DATA = "data: "
DONE = "[DONE]"


@dataclass(frozen=True)
class StreamEvent:
    """One server-sent event."""

    text: str = ""
    event_id: str = ""
    finish: str | None = None
    problem: dict | None = None


@dataclass(frozen=True)
class Result:
    """What became of one request; `fault` names a broken promise."""

    label: str
    status: int
    code: str = ""
    outcome: str = ""
    text: str = ""
    fault: str = ""
    last_event_id: str = ""
    body: dict | None = None
    key: str = ""

    @property
    def is_whole(self) -> bool:
        """Whether the answer came whole."""
        return self.status == httpx.codes.OK and not self.code and not self.fault


def token_fault(text: str, length: int, first: int = 0) -> str:
    """Return what is wrong with an answer of the engine's stand-in, or nothing."""
    tokens = text.split()
    names = {token.partition(".")[0] for token in tokens}
    if len(names) > 1:
        return f"spliced from {len(names)} generations"
    indexes = [int(token.partition(".")[2]) for token in tokens]
    expected = list(range(first, first + len(tokens)))
    if indexes != expected:
        return "tokens doubled, missing or out of order"
    if first + len(tokens) != length:
        return f"{first + len(tokens)} tokens instead of {length}"
    return ""


class Caller:
    """Sends requests for one client account to one gateway."""

    def __init__(self, base_url: str, key: str) -> None:
        self._client = httpx.Client(
            base_url=base_url,
            timeout=TIMEOUT_SECONDS,
            trust_env=False,
            headers={"Authorization": f"Bearer {key}"},
        )

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def generate(self, model: str, kind: str, length: int, note: str = "") -> Result:
        """Ask for a whole answer and check it."""
        body = _chat_body(model, kind, length, note, stream=False)
        response = self._client.post("/v1/chat/completions", json=body)
        if response.is_error:
            return _refused(kind, response.status_code, response.json())
        text = response.json()["choices"][0]["message"]["content"]
        fault = token_fault(text, length)
        return Result(kind, response.status_code, text=text, fault=fault)

    def stream(self, model: str, kind: str, length: int, note: str = "") -> Result:
        """Ask for a streamed answer and check it."""
        text, last_id, problem = "", "", None
        status = httpx.codes.OK
        finished = False
        with self.open_stream(model, kind, length, note) as response:
            if response.is_error:
                problem = orjson.loads(response.read())
                return _refused(kind, response.status_code, problem)
            for event in read_events(response):
                text += event.text
                last_id = event.event_id or last_id
                problem = event.problem or problem
                finished = finished or event.finish == "stop"
        if problem is not None:
            fault = token_fault(text, len(text.split()))
            return Result(
                kind,
                status,
                problem["code"],
                problem["outcome"],
                text,
                fault,
                last_id,
                problem,
            )
        fault = token_fault(text, length) or ("" if finished else "ended without end")
        return Result(kind, status, text=text, fault=fault, last_event_id=last_id)

    def open_stream(
        self, model: str, kind: str, length: int, note: str = "", last_id: str = ""
    ):
        """Return the open response of a streamed request, as a context manager."""
        body = _chat_body(model, kind, length, note, stream=True)
        headers = {"Last-Event-ID": last_id} if last_id else {}
        return self._client.stream(
            "POST", "/v1/chat/completions", json=body, headers=headers
        )

    def call(
        self,
        service: str,
        kind: str,
        key: str | None = None,
        **arguments: object,
    ) -> Result:
        """Call a plain service."""
        headers = {"Idempotency-Key": key} if key else {}
        response = self._client.post(
            f"/v1/call/{service}",
            json={"kind": kind, "arguments": arguments},
            headers=headers,
        )
        if response.is_error:
            return _refused(kind, response.status_code, response.json())
        body = response.json()
        used = response.headers.get("Idempotency-Key", "")
        fault = "" if body["arguments"] == arguments else "another call's answer"
        return Result(kind, response.status_code, fault=fault, body=body, key=used)

    def mint_key(self, service: str) -> str:
        """Ask the gateway for a key."""
        response = self._client.post(f"/v1/keys/{service}")
        response.raise_for_status()
        return response.json()["key"]


def read_events(response: httpx.Response) -> Iterator[StreamEvent]:
    """Yield the server-sent events of a streamed answer."""
    event_id = name = ""
    for line in response.iter_lines():
        if line.startswith("id: "):
            event_id = line.removeprefix("id: ")
        elif line.startswith("event: "):
            name = line.removeprefix("event: ")
        elif line.startswith(DATA) and line != DATA + DONE:
            yield _event(event_id, name, orjson.loads(line.removeprefix(DATA)))
            event_id = name = ""


def _event(event_id: str, name: str, data: dict) -> StreamEvent:
    if name == "error":
        return StreamEvent(problem=data)
    choice = data["choices"][0]
    return StreamEvent(choice["delta"]["content"], event_id, choice["finish_reason"])


def _chat_body(model: str, kind: str, length: int, note: str, *, stream: bool) -> dict:
    content = f"length={length} {note}"
    return {
        "model": model,
        "messages": [{"role": "user", "content": content}],
        "metadata": {"kind": kind},
        "stream": stream,
    }


def _refused(label: str, status: int, problem: dict) -> Result:
    return Result(label, status, problem["code"], problem["outcome"], body=problem)
