"""Answers with neither length nor chunks, which end with their connection.

    python3 tests/process/unframed_answers.py

Real processes on loopback. Such an answer is complete if the endpoint closes its
connection, and broken off if the connection is reset on the way. A stream that ends
inside an event is broken off in any framing: its caller sees no end, and no later turn
may continue from it.
"""

import asyncio
import json
import socket
import struct
import sys

from leaving import HOST, KEY, Endpoint, Test, play
from soak_fleet import CALLER_PORT, CONTROL_PORT, http

EVENTS = b"id: 1\ndata: one\n\n" + b"id: 2\ndata: two\n\n"
EVENTS_CRLF = EVENTS.replace(b"\n", b"\r\n")
COMMENTED = EVENTS + b": the end\n"
SECOND = len(EVENTS) // 2  # Where the second event begins.
CUTS = [cut for cut in range(1, len(EVENTS)) if cut != SECOND]
PLAIN = b"an answer of several words"
DELIVERY_S = 0.05  # Until the instance has read what was sent before a reset.
RESET = struct.pack("ii", 1, 0)  # The value of SO_LINGER with which a close resets.


class Server(Endpoint):
    """Answers as the request's path says: /KIND/BODY:LENGTH:FRAMING:END."""

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
            fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
            await reader.readexactly(int(fields.get("content-length", 0)))
            self.reached.append(fields.get("request-id", ""))
            name, length, framing, end = head[0].split()[1].rsplit("/", 1)[1].split(":")
            body = {"events": EVENTS, "crlf": EVENTS_CRLF, "commented": COMMENTED, "plain": PLAIN}[name][:int(length)]
            writer.write(self._framed(fields.get("request-id", ""), body, framing))
            await writer.drain()
            if end == "reset":
                await asyncio.sleep(DELIVERY_S)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                writer.transport.abort()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The instance left, or the test is over.
        finally:
            writer.close()

    @staticmethod
    def _framed(request, body, framing):
        version = "1.0" if framing == "http10" else "1.1"
        head = (f"HTTP/{version} 200 OK\r\nRequest-Id: {request}\r\nServer-Signature: s\r\n"
                "Content-Type: text/event-stream\r\n")
        if framing == "head":  # A head that ends early.
            return head.encode()
        if framing == "length":
            return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        if framing == "chunked":
            return (head + "Transfer-Encoding: chunked\r\n\r\n").encode() + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        return (head + "\r\n").encode() + body


class UnframedAnswersTest(Test):
    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {kind: [Server(self.fleet, kind, i) for i in range(2)] for kind in ("stream", "whole")}

    async def configure(self):
        route = {"host": HOST, "timeout_ms": 3000, "attempts": 1, "retention_s": 60.0}
        routes = [dict(route, name="stream", path_prefix="/stream/", service="stream", kind="streaming",
                       retains_context=True),
                  dict(route, name="once", path_prefix="/once/", service="whole", kind="unsafe"),
                  dict(route, name="twice", path_prefix="/twice/", service="whole", kind="safe", attempts=2)]
        services = [{"name": "stream", "engine": {"slots": 8, "tokens_per_event": 1}}, {"name": "whole"}]
        body = json.dumps({"version": 1, "routes": routes, "services": services,
                           "tenants": [{"name": "org", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}]}).encode()
        while not (answer := await http(self.fleet.of("control")[0].host, CONTROL_PORT, "POST",
                                        "/pistachiospool/configuration/replace", body=body)) or answer[0] != 200:
            await asyncio.sleep(0.2)

    async def ask(self, path, program="", previous=""):
        """The request's id and the answer."""
        self.last_id += 1
        request = f"{self.last_id:016x}"
        headers = [("Host", HOST), ("Request-Id", request), ("X-Api-Key", KEY), ("Deadline-Remaining", "3000")]
        if program:
            headers += [("Program-Id", program), ("Token-Budget", "99"), ("Token-Counts", "1,12")]
        if previous:
            headers.append(("Previous-Turn", previous))
        return request, await http(self.fleet.of("entry")[0].host, CALLER_PORT, "POST", path, headers, b"in")

    async def stream(self, *spec):
        """The answer to a turn, and the status of a turn that names it as the previous one."""
        program = f"p{self.last_id}"
        request, answer = await self.ask("/stream/" + ":".join(map(str, spec)), program)
        _, later = await self.ask(f"/stream/events:{len(EVENTS)}:chunked:close", program, request)
        return answer, later and later[0]

    async def check_whole_streams(self):
        for name, body in (("events", EVENTS), ("crlf", EVENTS_CRLF), ("commented", COMMENTED)):
            for framing in ("none", "http10", "chunked", "length"):
                answer, later = await self.stream(name, len(body), framing, "close")
                self.expect(bool(answer) and answer[0] == 200 and answer[2] == body and answer[3] and later == 200,
                            f"{framing} {name}: complete {answer and (answer[0], answer[3])}, next turn {later}")

    async def check_cut_streams(self):
        for framing in ("none", "http10", "chunked", "length"):
            complete, kept = [], []
            for cut in CUTS:
                answer, later = await self.stream("events", cut, framing, "close")
                complete += [cut] * bool(not answer or answer[0] != 200 or answer[3])
                kept += [cut] * (later != 404)
            self.expect(not complete, f"{framing}, ended inside an event: complete when cut at {complete}")
            self.expect(not kept, f"{framing}, ended inside an event: not 404 for the next turn at {kept}")

    async def check_reset_streams(self):
        for cut in (SECOND, SECOND + 5, len(EVENTS)):
            answer, later = await self.stream("events", cut, "none", "reset")
            self.expect(bool(answer) and answer[0] == 200 and answer[2] == EVENTS[:cut] and not answer[3] and
                        later == 404, f"reset at {cut}: {answer and (answer[0], answer[3])}, next turn {later}")

    async def check_plain(self):
        for framing in ("none", "http10"):
            for route in ("once", "twice"):
                _, answer = await self.ask(f"/{route}/plain:{len(PLAIN)}:{framing}:close")
                self.expect(bool(answer) and answer[0] == 200 and answer[2] == PLAIN and answer[3],
                            f"plain, {framing}, {route}: {answer and (answer[0], answer[2])}")
        _, answer = await self.ask("/once/plain:0:none:close")
        self.expect(bool(answer) and answer[0] == 200 and answer[2] == b"", f"plain, empty: {answer and answer[0]}")
        for name, spec in (("reset", f"plain:{len(PLAIN)}:none:reset"), ("head ends early", "plain:0:head:close")):
            for route, runs in (("once", 1), ("twice", 2)):
                request, answer = await self.ask(f"/{route}/{spec}")
                reached = sum(e.reached.count(request) for e in self.endpoints["whole"])
                self.expect(bool(answer) and answer[0] >= 500 and PLAIN not in answer[2] and reached == runs,
                            f"plain, {name}, {route}: {answer and answer[0]} after {reached} of {runs} runs")

    async def check(self):
        await self.check_whole_streams()
        await self.check_cut_streams()
        await self.check_reset_streams()
        await self.check_plain()


if __name__ == "__main__":
    sys.exit(play(UnframedAnswersTest))
