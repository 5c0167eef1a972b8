"""Endpoints that crash between two events of an answer that ends with its connection.

    python3 tests/process/unframed_end_after_crash.py

Real processes on loopback; each endpoint is a process that is killed in the middle of its
answer. The kernel then closes the connection as at the end of a complete answer. The
caller must not take what came for complete, and no later turn may continue from it.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys

import leaving
from leaving import HOST, KEY, Endpoint, Test
from soak_fleet import CALLER_PORT, ENDPOINT_PORT, http

EVENTS = b"id: 1\ndata: one\n\n" + b"id: 2\ndata: two\n\n"
SECOND = len(EVENTS) // 2  # Where the second event begins.
PLAIN = b"an answer of several words"
DELIVERY_S = 0.05  # Until the instance has read what was sent before a crash.
RESTART_S = 1.2  # Until a restarted endpoint is known and no longer avoided.
HOLD_S = 0.5  # How long an answer stays open while its instance is killed.


async def serve(host):
    """The endpoint process. Answers as the path says: /KIND/BODY:LENGTH:FRAMING:END."""

    async def handle(reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
                await reader.readexactly(int(fields.get("content-length", 0)))
                name, length, framing, end = head[0].split()[1].rsplit("/", 1)[1].split(":")
                whole = {"events": EVENTS, "plain": PLAIN}[name]
                body = whole[:int(length)]
                request = fields.get("request-id", "")
                version = "1.0" if framing == "http10" else "1.1"
                text = (f"HTTP/{version} 200 OK\r\nRequest-Id: {request}\r\nServer-Signature: s\r\n"
                        "Content-Type: text/event-stream\r\n").encode()
                if framing == "chunked":
                    text += b"Transfer-Encoding: chunked\r\n\r\n" + (b"%x\r\n%s\r\n" % (len(body), body) if body else b"")
                    text += b"0\r\n\r\n" if end == "close" else b""
                elif framing == "length":
                    text += b"Content-Length: %d\r\n\r\n" % len(whole) + body
                else:
                    text += b"\r\n" + body
                writer.write(text)
                await writer.drain()
                if end == "crash":
                    await asyncio.sleep(DELIVERY_S)
                    os.kill(os.getpid(), signal.SIGKILL)
                if end == "hold":
                    await asyncio.sleep(HOLD_S)
                return
        except (OSError, asyncio.IncompleteReadError):
            pass  # The instance left.
        finally:
            writer.close()

    server = await asyncio.start_server(handle, host, ENDPOINT_PORT)
    await server.serve_forever()


class Server(Endpoint):
    """An endpoint in a process of its own, which is started again when it has ended."""

    async def start(self):
        self._launch()
        asyncio.ensure_future(self._announce())
        asyncio.ensure_future(self._restart())

    def _launch(self):
        self.process = subprocess.Popen([sys.executable, __file__, "serve", self.host])

    async def _restart(self):
        while not self.over:
            await asyncio.sleep(RESTART_S / 4)
            if self.process.poll() is not None:
                self.born, self.sequence = self.born + 1, 0
                self._launch()

    def stop(self):
        self.over = True
        self.process.kill()
        self.process.wait()


class UnframedEndAfterCrashTest(Test):
    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {kind: [Server(self.fleet, kind, 0)] for kind in ("stream", "whole")}

    async def configure(self):
        route = {"host": HOST, "timeout_ms": 3000, "attempts": 1, "retention_s": 60.0}
        routes = [dict(route, name="kept", path_prefix="/kept/", service="stream", kind="streaming",
                       retains_context=True),
                  dict(route, name="resumed", path_prefix="/resumed/", service="stream", kind="streaming",
                       resumable=True),
                  dict(route, name="once", path_prefix="/once/", service="whole", kind="unsafe"),
                  dict(route, name="safe", path_prefix="/safe/", service="whole", kind="safe")]
        services = [{"name": "stream", "engine": {"slots": 8, "tokens_per_event": 1}}, {"name": "whole"}]
        body = json.dumps({"version": 1, "routes": routes, "services": services,
                           "tenants": [{"name": "org", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}]}).encode()
        while not (answer := await http(self.fleet.of("control")[0].host, leaving.CONTROL_PORT, "POST",
                                        "/pistachiospool/configuration/replace", body=body)) or answer[0] != 200:
            await asyncio.sleep(0.2)

    async def ask(self, path, program="", previous="", instance=0):
        """The request's id and the answer."""
        self.last_id += 1
        request = f"{self.last_id:016x}"
        headers = [("Host", HOST), ("Request-Id", request), ("X-Api-Key", KEY), ("Deadline-Remaining", "3000")]
        if program:
            headers += [("Program-Id", program), ("Token-Budget", "99"), ("Token-Counts", "1,12")]
        if previous:
            headers.append(("Previous-Turn", previous))
        return request, await http(self.fleet.of("entry")[instance].host, CALLER_PORT, "POST", path, headers, b"in")

    async def check_crash(self, route, framing, length):
        program = f"p{self.last_id}"
        request, answer = await self.ask(f"/{route}/events:{length}:{framing}:crash", program)
        whole = bool(answer) and answer[0] == 200 and answer[3]
        self.expect(not whole, f"{route}, {framing}, crash after {length} bytes: "
                    f"{answer and (answer[0], answer[2], 'complete' if answer[3] else 'cut')}")
        await asyncio.sleep(RESTART_S)
        if route == "kept":
            _, later = await self.ask(f"/kept/events:{len(EVENTS)}:chunked:close", program, request)
            self.expect(bool(later) and later[0] == 404, f"kept, {framing}, crash after {length} bytes: next turn "
                        f"{later and later[0]}")

    async def check_crashes(self):
        for route in ("kept", "resumed"):
            for framing in ("none", "http10", "chunked", "length"):
                for length in (0, SECOND):
                    await self.check_crash(route, framing, length)

    async def check_plain_crashes(self):
        for route in ("once", "safe"):
            for framing in ("none", "length"):
                _, answer = await self.ask(f"/{route}/plain:9:{framing}:crash")
                self.expect(bool(answer) and answer[0] == 502,
                            f"{route}, {framing}, crash inside the body: {answer and (answer[0], answer[2])}")
                await asyncio.sleep(RESTART_S)

    async def check_whole(self):
        """The end is passed on as the endpoint stated it: by a close only."""
        for route, name, body in (("kept", "events", EVENTS), ("resumed", "events", EVENTS), ("once", "plain", PLAIN)):
            for framing in ("none", "http10"):
                program = f"p{self.last_id}" if name == "events" else ""
                request, answer = await self.ask(f"/{route}/{name}:{len(body)}:{framing}:close", program)
                framed = answer and {"content-length", "transfer-encoding"} & set(answer[1])
                self.expect(bool(answer) and answer[0] == 200 and answer[2] == body and answer[3] and not framed,
                            f"{route}, {framing}, whole: {answer and (answer[0], answer[3], sorted(framed))}")
                if route == "kept":
                    _, later = await self.ask(f"/kept/events:{len(EVENTS)}:chunked:close", program, request)
                    self.expect(bool(later) and later[0] == 200, f"next turn {later and later[0]}")

    async def check_killed_instance(self):
        """The end of the instance's own process isn't the end of an answer either."""
        entry = self.fleet.of("entry")[1]
        for framing in ("none", "chunked"):
            call = asyncio.ensure_future(self.ask(f"/resumed/events:{SECOND}:{framing}:hold", "p-killed", instance=1))
            await asyncio.sleep(HOLD_S / 2)
            entry.stop_now()
            _, answer = await call
            self.expect(not answer or not answer[3], f"{framing}, the instance is killed: {answer and answer[2:]}")
            entry.start()
            await asyncio.sleep(leaving.START_S)

    async def check(self):
        await self.check_crashes()
        await self.check_plain_crashes()
        await self.check_whole()
        await self.check_killed_instance()


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        asyncio.run(serve(sys.argv[2]))
    sys.exit(leaving.play(UnframedEndAfterCrashTest))
