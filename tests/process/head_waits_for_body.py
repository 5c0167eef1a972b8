"""Answers to HEAD requests, which have the length of a body and no body.

    python3 tests/process/head_waits_for_body.py

Real processes on loopback. The caller gets the head at once, with the length as the
endpoint gave it, and both connections stay in use.
"""

import asyncio
import sys

import late_requests_in_stop as late
from leaving import HOST, KEY, Endpoint, play
from soak_fleet import CALLER_PORT, now

AT_ONCE_S = 0.5
FIELDS = {"length": "Content-Length: 1234\r\n", "chunked": "Transfer-Encoding: chunked\r\n", "none": ""}


class HeadEndpoint(Endpoint):
    connections = 0

    async def _serve(self, reader, writer):
        HeadEndpoint.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
                framing = head[0].split()[1].rsplit("/", 1)[1]
                writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {fields['request-id']}\r\nServer-Signature: s\r\n"
                              f"{FIELDS[framing]}\r\n").encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The instance left, or the test is over.
        finally:
            writer.close()


class HeadTest(late.LateRequestsTest):
    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {"whole": [HeadEndpoint(self.fleet, "whole", 0)]}

    async def ask_head(self, connection, framing):
        self.last_id += 1
        reader, writer = connection
        path = "/elsewhere/" if framing == "refused" else f"/once/{framing}"
        writer.write((f"HEAD {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {self.last_id:016x}\r\n"
                      f"X-Api-Key: {KEY}\r\nDeadline-Remaining: 1500\r\n\r\n").encode())
        return (await reader.readuntil(b"\r\n\r\n")).decode("latin1")

    async def check(self):
        connection = await asyncio.open_connection(self.fleet.of("entry")[0].host, CALLER_PORT)
        for framing in ("length", "chunked", "none", "length", "refused"):
            start, head = now(), "no answer"
            try:
                head = await asyncio.wait_for(self.ask_head(connection, framing), late.LONG_S)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            took_s = now() - start
            length = "1234" if framing == "length" else None
            if framing == "refused":
                rest = b""
                try:
                    rest = await asyncio.wait_for(connection[0].read(100), AT_ONCE_S)
                except asyncio.TimeoutError:
                    pass  # The connection is kept, and nothing follows the head.
                self.expect(head.startswith("HTTP/1.1 404") and not rest, f"a refusal has no body: {head[:12]}, {rest}")
                continue
            lengths = [line.split(": ")[1] for line in head.split("\r\n") if line.lower().startswith("content-length")]
            self.expect(head.startswith("HTTP/1.1 200") and took_s < AT_ONCE_S and lengths == [length] * bool(length),
                        f"{framing}: {head.split(chr(13))[0]} after {took_s:.3f} s, length {lengths}")
        self.expect(HeadEndpoint.connections == 1, f"{HeadEndpoint.connections} connections to the endpoint")


if __name__ == "__main__":
    sys.exit(play(HeadTest))
