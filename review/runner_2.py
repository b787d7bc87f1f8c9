"""A runner as the users' pages describe it, in a process of its own.

It takes one argument, its options as JSON, prints its port, and then a line for each
event: what reached it, what it ran and what it made. It reads orders from its input.
"""

from __future__ import annotations

import os
import sys
import time

import h11
import orjson
import trio

TOKENS_AN_EVENT = 4


def tell(event: str, **fields: object) -> None:
    """Print one line."""
    line = {"at": round(time.monotonic(), 4), "event": event, **fields}
    os.write(1, orjson.dumps(line) + b"\n")


class Runner:
    """Serves streams and plain requests.

    `unframed` is every how many streams one has neither a length nor chunks, by the
    number at the end of its id; 0 for none. After the order `leave` it says in all its
    answers that it leaves.
    """

    def __init__(self, options: dict) -> None:
        self.identity = options["identity"]
        self.pace = options.get("pace", 0.012)
        self.work = options.get("work", 0.03)
        self.unframed = options.get("unframed", 0)
        self.born = options["born"]
        self.is_leaving = False
        self.running: dict[str, trio.CancelScope] = {}
        self.made: dict[str, int] = {}

    async def run(self) -> None:
        """Serve until killed."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        os.write(1, orjson.dumps({"port": port}) + b"\n")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.read_orders, nursery.cancel_scope)
            nursery.start_soon(trio.serve_listeners, self.serve, listeners)

    async def read_orders(self, scope: trio.CancelScope) -> None:
        """Follow the orders on standard input; end with it."""
        while line := await trio.to_thread.run_sync(
            sys.stdin.readline, abandon_on_cancel=True
        ):
            word = line.strip()
            tell("order", word=word)
            if word == "leave":
                self.is_leaving = True
        scope.cancel()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        connection = h11.Connection(h11.SERVER)
        try:
            while await self.exchange(stream, connection):
                connection.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def exchange(self, stream, connection) -> bool:
        """Serve one request; return whether another may follow."""
        request, body = None, b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(65_536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        headers = {k.decode().lower(): v.decode() for k, v in request.headers}
        target = request.target.decode()
        identity = headers.get("attempt-id", "")
        if target == "/kv-move":
            # There is no room at the target.
            order = orjson.loads(body)
            await self.answer(stream, connection, order["id"], 503, b"{}", seal=False)
        elif target == "/report":
            runs = [[name, 0, made, 5] for name, made in self.made.items()]
            report = {"state": "ready", "runs": runs, "born": self.born}
            if self.is_leaving:
                report["state"] = "draining"
            data = orjson.dumps(report)
            await self.answer(stream, connection, identity, 200, data, seal=False)
        elif headers.get("expected-instance", self.identity) != self.identity:
            await self.answer(stream, connection, identity, 421, b"", seal=False)
        elif "kv-from" in headers:
            tell("turned away", id=identity)
            extra = [("Not-Executed", "1")]
            await self.answer(stream, connection, identity, 503, b"", extra, seal=False)
        elif "token-usage" in headers:
            return await self.stream(stream, connection, identity, headers)
        else:
            tell("run", id=identity, leaving=self.is_leaving)
            await trio.sleep(self.work)
            await self.answer(
                stream, connection, identity, 200, b"done " + identity.encode()
            )
            tell("done", id=identity)
        return connection.our_state is h11.DONE

    def head(self, identity: str, extra=(), *, seal: bool = True) -> list:
        """Return the headers of an answer."""
        headers = [("Attempt-Id", identity), ("Instance-Id", self.identity), *extra]
        if seal:
            headers.append(("Response-Seal", f"seal.{self.identity}.{identity}"))
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
        return headers

    async def answer(
        self, stream, connection, identity, status, body, extra=(), *, seal=True
    ) -> None:
        """Send a whole answer."""
        headers = self.head(identity, extra, seal=seal)
        headers.append(("Content-Length", str(len(body))))
        data = connection.send(h11.Response(status_code=status, headers=headers))
        data += connection.send(h11.Data(body))
        await stream.send_all(data + connection.send(h11.EndOfMessage()))

    async def stream(self, stream, connection, identity: str, headers: dict) -> bool:
        """Run a generation and send its events; drop it when its caller leaves."""
        events = int(headers["token-usage"].split(",")[1]) // TOKENS_AN_EVENT
        is_framed = not (self.unframed and int(identity[-4:], 16) % self.unframed == 0)
        fields = self.head(identity, [("Content-Type", "text/event-stream")])
        tell("run", id=identity, events=events, framed=is_framed)
        if is_framed:
            fields.append(("Transfer-Encoding", "chunked"))
            head = h11.Response(status_code=200, headers=fields)
            data = connection.send(head)
        else:
            lines = [f"{name}: {value}" for name, value in fields]
            data = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()
        for number in range(1, events + 1):
            event = b"id: %d\ndata: token-%d\n\n" % (number, number)
            data += connection.send(h11.Data(event)) if is_framed else event
            await stream.send_all(data)
            data = b""
            self.made[identity] = number
            if number == 1 or number % 50 == 0:
                tell("made", id=identity, number=number)
            await trio.sleep(self.pace)
        del self.made[identity]
        tell("done", id=identity, events=events)
        if not is_framed:
            await stream.send_eof()
            return False
        await stream.send_all(connection.send(h11.EndOfMessage()))
        return True


if __name__ == "__main__":
    trio.run(Runner(orjson.loads(sys.argv[1])).run)
