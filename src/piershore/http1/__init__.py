"""HTTP/1.1 over trio streams, with the details of each exchange that a proxy needs.

`h11` is the codec of both hypercorn and httpx. Neither of them reports whether bytes of
a request were sent, detects that a caller disconnects before its answer is ready, or
rejects bytes that follow a complete answer.
"""
