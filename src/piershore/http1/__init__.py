"""HTTP/1.1 over trio streams, with what a proxy must know of each exchange.

`h11` is the codec under both hypercorn and httpx; neither of those tells whether a
request's bytes left, sees a caller leave while its answer is being made, or refuses
bytes that follow a whole answer.
"""
