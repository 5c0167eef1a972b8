"""Endpoints that stop in the middle of a response's head.

    python3 tests/process/cut_head_answered_as_whole.py

Real processes on loopback. Each byte of a head is once its last one, before a close and
before a reset, on a new and on a kept connection, with and without a length. The caller
never gets the endpoint's status, nor bytes of its head as a body.
"""

import asyncio
import json
import socket
import sys

from leaving import HOST, KEY, Endpoint, Test, play
from soak_fleet import CALLER_PORT, CONTROL_PORT, http
from unframed_answers import RESET

FRAMINGS = {"length": b"Content-Length: 1234\r\n", "none": b"", "chunked": b"Transfer-Encoding: chunked\r\n"}
AT_ONCE = 16
DELIVERY_S = 0.02  # Until the instance has read what was sent before a reset.


def head_of(framing):
    return (b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\nContent-Type: text/event-stream\r\n"
            b"Keep-Alive: timeout=5\r\n" % (b"0" * 16) + FRAMINGS[framing] + b"\r\n")


class CuttingEndpoint(Endpoint):
    """Cuts the head as the request's path says: /ROUTE/FRAMING:CUT:END. Cut `whole`: a whole response."""

    kept = 0  # Heads that were cut on a connection that had been used before.

    async def _serve(self, reader, writer):
        used = False
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
                await reader.readexactly(int(fields.get("content-length", 0)))
                framing, cut, end = head[0].split()[1].rsplit("/", 1)[1].split(":")
                request = fields["request-id"].encode()
                if cut == "whole":
                    writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: " + request + b"\r\nServer-Signature: s\r\n"
                                 b"Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    used = True
                    continue
                CuttingEndpoint.kept += used
                writer.write(head_of(framing).replace(b"0" * 16, request)[:int(cut)])
                await writer.drain()
                if end == "reset":
                    await asyncio.sleep(DELIVERY_S)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    writer.transport.abort()
                return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The instance left, or the test is over.
        finally:
            writer.close()


class CutHeadTest(Test):
    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {"whole": [CuttingEndpoint(self.fleet, "whole", 0)]}

    async def configure(self):
        route = {"host": HOST, "timeout_ms": 3000, "attempts": 1, "retention_s": 60.0, "service": "whole"}
        routes = [dict(route, name="once", path_prefix="/once/", kind="unsafe"),
                  dict(route, name="stream", path_prefix="/stream/", kind="streaming")]
        body = json.dumps({"version": 1, "routes": routes, "services": [{"name": "whole"}],
                           "tenants": [{"name": "org", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}]}).encode()
        while not (answer := await http(self.fleet.of("control")[0].host, CONTROL_PORT, "POST",
                                        "/pistachiospool/configuration/replace", body=body)) or answer[0] != 200:
            await asyncio.sleep(0.2)

    async def ask(self, path):
        self.last_id += 1
        headers = [("Host", HOST), ("Request-Id", f"{self.last_id:016x}"), ("X-Api-Key", KEY),
                   ("Deadline-Remaining", "3000")]
        return await http(self.fleet.of("entry")[0].host, CALLER_PORT, "POST", path, headers, b"in")

    async def check_cut(self, gate, route, framing, cut, end, kept):
        async with gate:
            if kept:
                await self.ask("/once/none:whole:close")
            answer = await self.ask(f"/{route}/{framing}:{cut}:{end}")
            sound = bool(answer) and answer[0] == 502 and json.loads(answer[2])["kind"] == "endpoint-failed"
            return None if sound else (route, framing, cut, end, kept, answer and (answer[0], answer[2]))

    async def check(self):
        gate = asyncio.Semaphore(AT_ONCE)
        for framing in FRAMINGS:
            for end in ("close", "reset"):
                for kept in (False, True):
                    found = await asyncio.gather(*(
                        self.check_cut(gate, ("once", "stream")[cut % 2], framing, cut, end, kept)
                        for cut in range(len(head_of(framing)))))
                    wrong = [case for case in found if case]
                    self.expect(not wrong, f"{framing}, {end}, {'kept' if kept else 'any'} connection: {len(wrong)} of "
                                f"{len(found)} heads that are cut are answered otherwise than 502: {wrong[:3]}")
        self.expect(CuttingEndpoint.kept > len(head_of("none")),
                    f"{CuttingEndpoint.kept} of them were cut on a connection that had been used")


if __name__ == "__main__":
    sys.exit(play(CutHeadTest))
