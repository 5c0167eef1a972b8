"""An endpoint that writes an earlier refusal once more, through the whole path.

    python3 tests/process/repeated_refusal.py

Real processes on loopback. The endpoints answer on kept connections, and write a
refusal of an earlier request besides: right after an answer, when the next request has
arrived, or when that one is about to be answered. No caller may be told "not run" of a
request that ran, and no request that may not be repeated may run twice.
"""

import asyncio
import json
import sys

import leaving
from soak_fleet import CALLER_PORT, CONTROL_PORT, http

SERVICE = "full"  # One of the names that leaving.py has addresses for.
KINDS = ("unsafe", "safe", "streaming")
NOT_RUN = (408, 421, 429, 503)
EARLIER = "00000000000000ee"
REFUSALS = {
    "503 of an earlier request": f"503 Service Unavailable\r\nRequest-Id: {EARLIER}\r\nNot-Executed: 1",
    "429 of an earlier request": f"429 Too Many Requests\r\nRequest-Id: {EARLIER}\r\nNot-Executed: 1",
    "421 of an earlier request": f"421 Misdirected Request\r\nRequest-Id: {EARLIER}",
    "503 without a request": "503 Service Unavailable\r\nNot-Executed: 1",
    "400 without a request": "400 Bad Request\r\nNot-Executed: 1",
    "421 without a request": "421 Misdirected Request",
}
MOMENTS = ("after the answer", "when the next request has arrived", "before its answer")
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\nRequest-Id: %s\r\n\r\n"
RUN_S = 0.02
CALLS = 6  # Of each kind, refusal and moment, one after the other.
ENDPOINTS = 2


class Endpoint(leaving.Endpoint):
    def __init__(self, fleet, index):
        super().__init__(fleet, SERVICE, index)
        self.refusal, self.moment, self.interim = None, None, False
        self.runs, self.copies = [], 0

    async def _serve(self, reader, writer):
        answered = 0
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
                await reader.readexactly(int(fields.get("content-length", 0)))
                self.runs.append(fields["request-id"])
                if answered:
                    self._write_copy(writer, "when the next request has arrived")
                await asyncio.sleep(RUN_S)
                if answered:
                    self._write_copy(writer, "before its answer")
                if self.interim:
                    writer.write(INTERIM % fields["request-id"].encode())
                stream = head[0].split()[1].startswith("/streaming/")
                writer.write(self._whole_answer(fields["request-id"], stream))
                answered += 1
                await writer.drain()
                if self.moment == "after the answer":
                    await asyncio.sleep(0)  # Often arrives after the answer was read.
                    self._write_copy(writer, "after the answer")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller left, or the test is over.
        finally:
            writer.close()

    def _write_copy(self, writer, moment):
        if self.refusal and self.moment == moment:
            self.copies += 1
            writer.write(f"HTTP/1.1 {self.refusal}\r\nContent-Length: 0\r\n\r\n".encode())

    @staticmethod
    def _whole_answer(request, stream):
        signed = f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Signature: s\r\n"
        if stream:
            return (f"{signed}Content-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n").encode()
        return f"{signed}Content-Length: 2\r\n\r\nok".encode()


class RepeatedRefusalTest(leaving.Test):
    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {SERVICE: [Endpoint(self.fleet, i) for i in range(ENDPOINTS)]}

    async def configure(self):
        body = json.dumps({
            "version": 1,
            "routes": [{"name": kind, "host": leaving.HOST, "path_prefix": f"/{kind}/", "service": SERVICE,
                        "kind": kind, "timeout_ms": 3000, "attempts": 2} for kind in KINDS],
            "services": [{"name": SERVICE}],
            "tenants": [{"name": "org", "api_keys": [leaving.KEY], "rate_per_s": 0, "burst": 0}]}).encode()
        while not (answer := await http(self.fleet.of("control")[0].host, CONTROL_PORT, "POST",
                                        "/pistachiospool/configuration/replace", body=body)) or answer[0] != 200:
            await asyncio.sleep(0.2)

    async def send(self, kind):
        """The id and the answer of one call."""
        self.last_id += 1
        request = f"{self.last_id:016x}"
        headers = [("Host", leaving.HOST), ("Request-Id", request), ("X-Api-Key", leaving.KEY),
                   ("Deadline-Remaining", "3000")]
        return request, await http(self.fleet.of("entry")[0].host, CALLER_PORT, "POST", f"/{kind}/0", headers, b"in")

    def set_fault(self, refusal, moment, interim=False):
        for endpoint in self.endpoints[SERVICE]:
            endpoint.refusal, endpoint.moment, endpoint.interim = refusal, moment, interim

    async def known_again(self):
        """Until both endpoints answer; an endpoint may have been taken for another."""
        self.set_fault(None, None)
        for endpoint in self.endpoints[SERVICE]:
            endpoint.born, endpoint.sequence = endpoint.born + 1, 0
        await asyncio.sleep(0.7)
        await asyncio.gather(*(self.send("safe") for _ in range(8)))

    async def check_kind(self, kind, name, moment):
        await self.known_again()
        copies = sum(e.copies for e in self.endpoints[SERVICE])
        self.set_fault(REFUSALS[name], moment)
        answers = [await self.send(kind) for _ in range(CALLS)]
        copies = sum(e.copies for e in self.endpoints[SERVICE]) - copies
        runs = [run for endpoint in self.endpoints[SERVICE] for run in endpoint.runs]
        statuses = [answer and answer[0] for _, answer in answers]
        false = [r for r, answer in answers if answer and answer[0] in NOT_RUN and r in runs]
        twice = [r for r, _ in answers if kind != "safe" and runs.count(r) > 1]
        text = f"{kind}, {name}, {moment}: {statuses}, {copies} copies"
        self.expect(copies > 0, f"{text}: the endpoint wrote copies")
        self.expect(not false, f"{text}: {len(false)} told 'not run' that ran")
        self.expect(not twice, f"{text}: {len(twice)} ran twice")
        if "of an earlier request" in name:
            self.expect(statuses == [200] * CALLS, f"{text}: all are served")
            known = len(await self.used_endpoints())
            self.expect(known == ENDPOINTS, f"{text}: {known} endpoints are used afterwards")

    async def used_endpoints(self):
        self.set_fault(None, None)
        before = [len(e.runs) for e in self.endpoints[SERVICE]]
        for _ in range(4):
            await asyncio.gather(*(self.send("safe") for _ in range(8)))
        return [e for e, count in zip(self.endpoints[SERVICE], before) if len(e.runs) > count]

    async def check(self):
        for name in REFUSALS:
            for moment in MOMENTS:
                for kind in KINDS:
                    await self.check_kind(kind, name, moment)
        await self.known_again()
        self.set_fault(None, None, interim=True)
        for kind in KINDS:
            answers = [await self.send(kind) for _ in range(CALLS)]
            self.expect(all(a and a[0] == 200 and a[3] for _, a in answers),
                        f"{kind}: interim heads come before the answer: {[a and a[0] for _, a in answers]}")
        self.expect(not self.fleet.unexpected_ends(), "no process ended by itself")


if __name__ == "__main__":
    sys.exit(leaving.play(RepeatedRefusalTest))
