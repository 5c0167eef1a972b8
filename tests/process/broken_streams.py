"""Streams that break off on a resumable route while the other endpoints fail.

    python3 tests/process/broken_streams.py

Real processes on loopback. The first endpoint that gets a call breaks off; each later
one answers with an error, or with bytes that are no answer. A caller who has bytes of
the stream gets no others, and the stream doesn't look complete. One who has none yet
gets a single answer.
"""

import asyncio
import json
import re
import socket
import sys

from leaving import HOST, KEY, Endpoint, Test, play
from soak_fleet import CALLER_PORT, CONTROL_PORT, http
from unframed_answers import RESET

FIRST, PART = b"id: 1\ndata: one\n\n", b"id: 2\ndata: t"
ERRORS = ("500", "503", "full", "garbage")
ERROR_TEXT = b"the endpoint has failed"
TIMEOUT_S = 1.5  # Of the routes.
QUIET_S = 0.5  # After the call's deadline, until nothing more is expected.
SETTLE_S = 0.05  # Until the instance has read what was sent before a break.
RECEIVE_BYTES = 1 << 16  # Of the caller's buffers.
LARGE = b"x" * (6 << 20)  # More than the buffers of its connection hold.


def parse_chunks(rest):
    """The data of the chunks, whether the last chunk came, and the bytes that are no chunk."""
    data = b""
    while chunk := re.match(rb"([0-9a-f]+)\r\n", rest):
        size = int(chunk[1], 16)
        data += rest[chunk.end():chunk.end() + size]
        rest = rest[chunk.end() + size + 2:]
        if size == 0:
            return data, True, rest
    return data, False, rest


class BreakingEndpoint(Endpoint):
    """Breaks off and fails as the request's path says: /.../BREAK:FRAMING:ERROR."""

    reached_by = {}  # The number of endpoints that a call has reached, by its id.

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
            fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
            await reader.readexactly(int(fields.get("content-length", 0)))
            request = fields.get("request-id", "")
            self.reached_by[request] = self.reached_by.get(request, 0) + 1
            break_at, framing, error = head[0].split()[1].rsplit("/", 1)[1].split(":")
            if break_at == "large":
                writer.write(self._error("200 OK", request, LARGE))
                await writer.drain()
            elif self.reached_by[request] > 1:
                writer.write(self._answer(error, request))
                await writer.drain()
            else:
                await self._break(break_at, framing, request, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The instance left, or the test is over.
        finally:
            writer.close()

    async def _break(self, break_at, framing, request, writer):
        head = (f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Signature: s\r\n"
                "Content-Type: text/event-stream\r\n")
        body = {"head": b"", "between": FIRST, "inside": FIRST + PART, "stall": FIRST + PART}[break_at]
        if framing == "chunked":
            writer.write((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
            if body:
                writer.write(b"%x\r\n%s\r\n" % (len(body), body))
        else:
            writer.write((head + "\r\n").encode() + body)
        await writer.drain()
        await asyncio.sleep(4 * TIMEOUT_S if break_at == "stall" else SETTLE_S)
        if framing != "chunked" and break_at != "inside":  # A close would be its sound end.
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    @staticmethod
    def _error(status, request, body, fields=""):
        return (f"HTTP/1.1 {status}\r\nRequest-Id: {request}\r\nServer-Signature: s\r\n{fields}"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    def _answer(self, error, request):
        return {"500": self._error("500 Internal Server Error", request, ERROR_TEXT),
                "503": self._error("503 Service Unavailable", request, ERROR_TEXT),
                "full": self._error("503 Service Unavailable", request, ERROR_TEXT, "Not-Executed: 1\r\n"),
                "garbage": b"\x00\x01" + ERROR_TEXT + b"\r\n\r\n"}[error]


class BrokenStreamsTest(Test):
    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {"stream": [BreakingEndpoint(self.fleet, "stream", i) for i in range(3)]}

    async def configure(self):
        route = {"host": HOST, "timeout_ms": int(TIMEOUT_S * 1000), "retention_s": 60.0, "service": "stream"}
        routes = [dict(route, name=f"attempts-{n}", path_prefix=f"/attempts-{n}/", kind="streaming", attempts=n,
                       resumable=True) for n in (2, 3)]
        routes.append(dict(route, name="plain", path_prefix="/plain/", kind="safe", attempts=2))
        body = json.dumps({"version": 1, "routes": routes,
                           "services": [{"name": "stream", "engine": {"slots": 8, "tokens_per_event": 1}}],
                           "tenants": [{"name": "org", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}]}).encode()
        while not (answer := await http(self.fleet.of("control")[0].host, CONTROL_PORT, "POST",
                                        "/pistachiospool/configuration/replace", body=body)) or answer[0] != 200:
            await asyncio.sleep(0.2)

    async def ask(self, path, read_after_s=0.0):
        """The call's id, all bytes that come on its connection, and its end: kept, closed or reset."""
        self.last_id += 1
        request = f"{self.last_id:016x}"
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        caller.connect((self.fleet.of("entry")[0].host, CALLER_PORT))
        reader, writer = await asyncio.open_connection(sock=caller, limit=RECEIVE_BYTES)
        writer.write((f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\nX-Api-Key: {KEY}\r\n"
                      "Deadline-Remaining: 9000\r\nContent-Length: 2\r\n\r\nin").encode())
        await asyncio.sleep(read_after_s)
        received, end = b"", "kept"
        try:
            while data := await asyncio.wait_for(reader.read(RECEIVE_BYTES), TIMEOUT_S + QUIET_S):
                received += data
            end = "closed"
        except asyncio.TimeoutError:
            pass
        except OSError:
            end = "reset"
        writer.close()
        return request, received, end

    async def check_begun(self, attempts, break_at, framing, error):
        _, received, end = await self.ask(f"/attempts-{attempts}/{break_at}:{framing}:{error}")
        expected = FIRST if break_at == "between" else FIRST + PART
        head, _, rest = received.partition(b"\r\n\r\n")
        if b"Transfer-Encoding: chunked" in head:
            pieces, ended, rest = parse_chunks(rest)
            ended = ended or end == "kept"
        else:  # A body that ends with its connection; only a reset shows the break.
            pieces, ended, rest = rest, end != "reset", b""
        sound = (head.startswith(b"HTTP/1.1 200") and received.count(b"HTTP/1.1") == 1 and pieces == expected and
                 not rest and not ended)
        return None if sound else (attempts, break_at, framing, error, received[-200:], end)

    async def check_not_begun(self, attempts, error):
        request, received, _ = await self.ask(f"/attempts-{attempts}/head:chunked:{error}")
        head, _, body = received.partition(b"\r\n\r\n")
        fields = {k.lower(): v for k, v in (x.split(b": ", 1) for x in head.split(b"\r\n")[1:])}
        status = int(head.split()[1]) if head else 0
        runs = BreakingEndpoint.reached_by[request]
        self.expect(status >= 500 and received.count(b"HTTP/1.1") == 1 and
                    len(body) == int(fields.get(b"content-length", -1)),
                    f"attempts {attempts}, no byte of a body, then {error}: a single answer with {status} after {runs} runs")

    async def check_slow_caller(self):
        """The caller reads a large answer only after the call's deadline."""
        _, received, _ = await self.ask("/plain/large:none:500", read_after_s=TIMEOUT_S + QUIET_S)
        head, _, body = received.partition(b"\r\n\r\n")
        self.expect(head.startswith(b"HTTP/1.1 200") and LARGE.startswith(body) and b"HTTP/1.1" not in body,
                    f"a large answer that is read late: {len(body)} of {len(LARGE)} bytes and no others")

    async def check(self):
        for attempts in (2, 3):
            found = await asyncio.gather(*(
                self.check_begun(attempts, break_at, framing, error) for error in ERRORS
                for break_at in ("between", "inside", "stall") for framing in ("chunked", "none")))
            wrong = [case for case in found if case]
            self.expect(not wrong, f"attempts {attempts}, begun: other bytes or an end in {len(wrong)} of {len(found)}"
                        f" cases: {wrong}")
            await asyncio.gather(*(self.check_not_begun(attempts, error) for error in ERRORS))
        await self.check_slow_caller()


if __name__ == "__main__":
    sys.exit(play(BrokenStreamsTest))
