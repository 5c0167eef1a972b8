"""Endpoints that work on a request while its body arrives, and don't read it whole.

    python3 tests/process/order_runs_twice_after_cut_body.py

Guards against: a request counted as not run if its body was not written completely, so an order
whose endpoint crashed while it worked on it and read the body ran at a second endpoint. Real
processes on loopback. The endpoints begin to execute with the head.
"""

import asyncio
import json
import signal
import socket
import sys

import leaving
from leaving import HOST, KEY
from soak_fleet import CALLER_PORT, CONTROL_PORT, ENDPOINT_PORT, http, now
from unframed_answers import RESET

SERVICE = "whole"
BODY_BYTES = 4 << 20
RECEIVE_BUFFER_BYTES = 65536
WORK_S = 0.1
PAUSE_S = 1.2
SLOW_PIECE_S = 0.5  # For each RECEIVE_BUFFER_BYTES.
EACH = 8
ATTEMPTS = 2  # Of the repeatable route.
TIMEOUT_S = 2.0
STOPPED_AFTER_S = 9.0
NOT_RUN = {408, 421, 429, 503}
LONG_TIMEOUT_S = 20.0  # Beyond the end of a planned stop.
ROUTES = {"order": ("unsafe", TIMEOUT_S), "query": ("safe", TIMEOUT_S), "long-order": ("unsafe", LONG_TIMEOUT_S)}


class EarlyWorker(leaving.Endpoint):
    """Notes a request as begun with its head. The path says how it goes on."""

    begun = {}  # Ids of endpoints, by request.

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind((self.host, ENDPOINT_PORT))
        self.server = await asyncio.start_server(self._serve, sock=listener, limit=RECEIVE_BUFFER_BYTES)
        asyncio.ensure_future(self._announce())

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
                request, way = fields["request-id"], head[0].split()[1].rsplit("/", 1)[1]
                if way == "refuse" and request not in self.begun:
                    self.begun[request] = []  # Not executed, as this endpoint states.
                    writer.write(f"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\n"
                                 "Content-Length: 0\r\nConnection: close\r\n\r\n".encode())
                    await writer.drain()
                    return
                self.begun.setdefault(request, []).append(self.id)
                if way == "crash":
                    await asyncio.sleep(WORK_S)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    writer.transport.abort()
                    return
                if way == "stall":
                    await asyncio.sleep(2 * STOPPED_AFTER_S)
                if way == "pause":
                    await asyncio.sleep(PAUSE_S)
                left = int(fields["content-length"])
                while left > 0:
                    left -= len(await reader.readexactly(min(left, RECEIVE_BUFFER_BYTES)))
                    await asyncio.sleep(SLOW_PIECE_S if way == "slow" else 0)
                writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Signature: s\r\n"
                             "Content-Length: 2\r\n\r\nok".encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The instance left, or the test is over.
        finally:
            writer.close()


class CutBodyTest(leaving.Test):
    def __init__(self, data):
        super().__init__(data)
        EarlyWorker.begun = {}
        self.endpoints = {SERVICE: [EarlyWorker(self.fleet, SERVICE, i) for i in range(6)]}

    async def configure(self):
        routes = [{"host": HOST, "timeout_ms": int(timeout * 1000), "attempts": ATTEMPTS if kind == "safe" else 1,
                   "retention_s": 60.0, "name": name, "path_prefix": f"/{name}/", "service": SERVICE, "kind": kind}
                  for name, (kind, timeout) in ROUTES.items()]
        body = json.dumps({"version": 1, "routes": routes, "services": [{"name": SERVICE}],
                           "tenants": [{"name": "org", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}]}).encode()
        while not (answer := await http(self.fleet.of("control")[0].host, CONTROL_PORT, "POST",
                                        "/pistachiospool/configuration/replace", body=body)) or answer[0] != 200:
            await asyncio.sleep(0.2)

    async def send(self, route, way, instance=0):
        """The status, and the endpoints that began to execute the request."""
        self.last_id += 1
        request = f"{self.last_id:016x}"
        answer = await http(self.fleet.of("entry")[instance].host, CALLER_PORT, "POST", f"/{route}/{way}",
                            [("Host", HOST), ("Request-Id", request), ("X-Api-Key", KEY),
                             ("Deadline-Remaining", str(int(ROUTES[route][1] * 1000)))],
                            bytes(BODY_BYTES), 2 * STOPPED_AFTER_S)
        return answer and answer[0], EarlyWorker.begun.get(request, [])

    async def check_way(self, route, way, most, statuses, name):
        seen = [await self.send(route, way) for _ in range(EACH)]
        self.expect(all(len(runs) <= most for _, runs in seen),
                    f"{name}: endpoints that began to execute: {[len(runs) for _, runs in seen]}, {most} allowed")
        self.expect(all(status in statuses for status, _ in seen),
                    f"{name}: answered {[status for status, _ in seen]}, allowed {sorted(statuses)}")

    async def check_stop(self):
        """A planned stop ends the calls whose bodies are still arriving."""
        entry, begun = self.fleet.of("entry")[1], now()
        calls = [asyncio.ensure_future(self.send("long-order", "slow", 1)) for _ in range(EACH)]
        await asyncio.sleep(TIMEOUT_S / 4)
        entry.signal(signal.SIGTERM)
        seen = await asyncio.gather(*calls)
        self.expect(all(runs and status not in NOT_RUN for status, runs in seen),
                    f"orders at a planned stop: answered {[status for status, _ in seen]} after {now() - begun:.1f} s")

    async def check(self):
        for way, most, statuses, name in (
                ("whole", 1, {200}, "orders that are read whole"),
                ("refuse", 1, {200}, "orders that are refused at one endpoint before their body is read"),
                ("pause", 1, {200}, "orders whose endpoint pauses before it reads on"),
                ("crash", 1, {502}, "orders whose endpoint crashes"),
                ("stall", 1, {502, 504}, "orders whose endpoint doesn't read on before their deadline")):
            await self.check_way("order", way, most, statuses, name)
        await self.check_way("query", "crash", ATTEMPTS, {502, 503}, "queries whose endpoints crash")
        await self.check_stop()


if __name__ == "__main__":
    sys.exit(leaving.play(CutBodyTest))
