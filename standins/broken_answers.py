"""Answers of endpoints in trouble: bytes that are no answer, or end early or never."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from standins.published_endpoint import Arrival, fault, PublishedEndpoint

OK = b"HTTP/1.1 200 OK\r\n"
SEAL = b"Attempt-Id: %s\r\nResponse-Seal: seal.%s\r\n"
NO_LINGER = b"\x01\x00\x00\x00\x00\x00\x00\x00"
EVENT = b"id: 1\ndata: token-1\n\n"
BLOCK = b"x" * 65_536
CHUNK = b"400\r\n" + b"x" * 0x400 + b"\r\n"


@dataclass(frozen=True)
class BrokenAnswer:
    """What an endpoint sends: `data`, and then `repeated` until the caller closes.

    `%s` in `data` stands for the request's id. It then waits for `seconds`, and closes
    the connection, or `resets` it. If it `is_early`, it reads no more of the request
    than its head.
    """

    data: bytes
    repeated: bytes = b""
    seconds: float = 0.0
    resets: bool = False
    is_early: bool = False

    async def send(self, stream: trio.SocketStream, identity: str) -> None:
        """Send the answer."""
        await stream.send_all(self.data.replace(b"%s", identity.encode()))
        while self.repeated:
            await stream.send_all(self.repeated)
        await trio.sleep(self.seconds)
        if self.resets:
            option = trio.socket.SO_LINGER
            stream.socket.setsockopt(trio.socket.SOL_SOCKET, option, NO_LINGER)


def _with_body(head: bytes) -> bytes:
    return head + b"Content-Length: 4\r\n\r\nbody"


def _reset_upload(seconds: float) -> BrokenAnswer:
    data = OK + SEAL + b"\r\n" + EVENT
    return BrokenAnswer(data, seconds=seconds, resets=True, is_early=True)


BROKEN_ANSWERS = {
    "reset in the upload": _reset_upload(0.0),
    "reset in the upload after 0.03 s": _reset_upload(0.03),
    "reset in the upload after 0.2 s": _reset_upload(0.2),
    "status 000": BrokenAnswer(_with_body(b"HTTP/1.1 000 OK\r\n" + SEAL)),
    "status 099": BrokenAnswer(_with_body(b"HTTP/1.1 099 OK\r\n" + SEAL)),
    "status 101": BrokenAnswer(_with_body(b"HTTP/1.1 101 OK\r\n" + SEAL)),
    "status 600": BrokenAnswer(_with_body(b"HTTP/1.1 600 OK\r\n" + SEAL)),
    "status 999": BrokenAnswer(_with_body(b"HTTP/1.1 999 OK\r\n" + SEAL)),
    "a blank in a name": BrokenAnswer(_with_body(OK + SEAL + b"X y: 1\r\n")),
    "a control byte in a name": BrokenAnswer(_with_body(OK + SEAL + b"X\x01: 1\r\n")),
    "a blank before a colon": BrokenAnswer(_with_body(OK + SEAL + b"X : 1\r\n")),
    "an empty name": BrokenAnswer(_with_body(OK + SEAL + b": 1\r\n")),
    "a folded line": BrokenAnswer(_with_body(OK + SEAL + b" and more\r\n")),
    "a line folded by a tab": BrokenAnswer(_with_body(OK + SEAL + b"\tX: 1\r\n")),
    "a head cut in its status": BrokenAnswer(b"HTTP/1.1 20"),
    "a head cut in a name": BrokenAnswer(OK + SEAL + b"Content-Le"),
    "a head cut before its end": BrokenAnswer(OK + SEAL),
    "a body without end": BrokenAnswer(OK + SEAL + b"\r\n", BLOCK),
    "chunks without end": BrokenAnswer(
        OK + SEAL + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK * 100
    ),
    "a head without end": BrokenAnswer(OK + SEAL, b"X: 1\r\n" * 1_000),
    "interim answers without end": BrokenAnswer(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
}


def _register(name: str, answer: BrokenAnswer) -> None:
    @fault(name, is_early=answer.is_early)
    async def _send(endpoint: PublishedEndpoint, arrival: Arrival) -> bool:
        endpoint.note_run(arrival)
        await answer.send(arrival.stream, arrival.identity)
        return False


for _name, _answer in BROKEN_ANSWERS.items():
    _register(_name, _answer)
