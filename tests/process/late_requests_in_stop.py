"""Requests that come late in a planned stop of an entry instance.

    python3 tests/process/late_requests_in_stop.py

Real processes on loopback, in calm. Callers go on using their open connections while the
instance stops, with calls that may last longer than the rest of the grace. No call that
has reached an endpoint may end without an answer, and one that can't end in time is
refused at once.
"""

import asyncio
import json
import signal
import sys

from leaving import HOST, KEY, Endpoint, Test, play
from soak_fleet import CALLER_PORT, CONTROL_PORT, http, now, read_answer

GRACE_S = 8  # As soak_fleet sets it.
LONG_S, LONGEST_S, SHORT_S = 5.0, 12.0, 0.05
LONG_DEADLINE_MS, SHORT_DEADLINE_MS = 20000, 1500
SENT_AT_S = [0.1, 0.5, 1.0, 1.5, 2.0, 2.5, 2.8, 3.2, 4.0, 5.0, 6.0, 6.8]  # After the signal.
EACH = 4  # Connections for each moment.
REFUSED_AT_ONCE_S = 0.25
OPEN_S = 2.5  # In which calls that fit into the grace are still taken.


class SlowEndpoint(Endpoint):
    """Works as long as the path says: /once/SECONDS."""

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
                await reader.readexactly(int(fields.get("content-length", 0)))
                self.reached.append(fields["request-id"])
                await asyncio.sleep(float(head[0].split()[1].rsplit("/", 1)[1]))
                writer.write(self._answer(fields["request-id"]))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller left, or the test is over.
        finally:
            writer.close()


class LateRequestsTest(Test):
    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {"whole": [SlowEndpoint(self.fleet, "whole", i) for i in range(2)]}

    async def configure(self):
        body = json.dumps({"version": 1, "routes": [{"name": "once", "host": HOST, "path_prefix": "/once/",
                                                     "service": "whole", "kind": "unsafe", "timeout_ms": 20000}],
                           "services": [{"name": "whole"}], "limits": {"idle_timeout_ms": 60000},
                           "tenants": [{"name": "org", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}]}).encode()
        while not (answer := await http(self.fleet.of("control")[0].host, CONTROL_PORT, "POST",
                                        "/pistachiospool/configuration/replace", body=body)) or answer[0] != 200:
            await asyncio.sleep(0.2)

    async def ask(self, connection, work_s, deadline_ms):
        """The request's id, its answer or None, and how long it took."""
        self.last_id += 1
        request, start = f"{self.last_id:016x}", now()
        reader, writer = connection
        try:
            writer.write((f"POST /once/{work_s} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\nX-Api-Key: {KEY}\r\n"
                          f"Deadline-Remaining: {deadline_ms}\r\nContent-Length: 2\r\n\r\nin").encode())
            answer = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError):
            answer = None
        return request, answer, now() - start

    async def connect(self):
        """A connection that has served a request already."""
        connection = await asyncio.open_connection(self.fleet.of("entry")[0].host, CALLER_PORT)
        await self.ask(connection, SHORT_S, SHORT_DEADLINE_MS)
        return connection

    async def late(self, connection, at_s, work_s, deadline_ms):
        await asyncio.sleep(at_s)
        return at_s, *await self.ask(connection, work_s, deadline_ms)

    def expect_answered(self, found, text):
        reached = {request for e in self.endpoints["whole"] for request in e.reached}
        cut = [(at_s, round(took_s, 2)) for at_s, request, answer, took_s in found if request in reached and not answer]
        self.expect(not cut, f"{text}: {len(cut)} of {len(found)} calls reach an endpoint and have no answer: {cut}")
        false = [at_s for at_s, request, answer, _ in found if request in reached and answer and answer[0] in (429, 503)]
        self.expect(not false, f"{text}: {len(false)} are answered as not run although they have reached one")

    async def check(self):
        entry = self.fleet.of("entry")[0]
        early, long, short = [[await self.connect() for _ in range(EACH * n)]
                              for n in (1, len(SENT_AT_S), len(SENT_AT_S))]
        running = [asyncio.ensure_future(self.late(c, 0, LONGEST_S, LONG_DEADLINE_MS)) for c in early]
        await asyncio.sleep(0.5)
        entry.signal(signal.SIGTERM)
        moments = [at_s for at_s in SENT_AT_S for _ in range(EACH)]
        calls = [asyncio.gather(*(self.late(c, at_s, work_s, deadline_ms) for c, at_s in zip(connections, moments)))
                 for connections, work_s, deadline_ms in ((long, LONG_S, LONG_DEADLINE_MS),
                                                          (short, SHORT_S, SHORT_DEADLINE_MS))]
        long_found, short_found = [await call for call in calls]
        self.expect_answered(long_found, "longer than the rest of the grace")
        slow = [(at_s, answer and answer[0], round(took_s, 2)) for at_s, _, answer, took_s in long_found
                if answer and answer[0] != 200 and took_s > REFUSED_AT_ONCE_S]
        self.expect(not slow, f"{len(slow)} of them are refused late: {slow}")
        told = [answer for _, _, answer, _ in long_found if answer and answer[0] == 503]
        self.expect(bool(told) and all("retry-after" in a[1] and a[1].get("connection") == "close" for a in told),
                    f"{len(told)} are refused as not run, with a time to come back, and the connection ends")
        self.expect_answered(short_found, "that fit")
        served = [at_s for at_s, _, answer, _ in short_found if at_s < OPEN_S and answer and answer[0] == 200]
        self.expect(len(served) == sum(at_s < OPEN_S for at_s in moments),
                    f"{len(served)} of {sum(at_s < OPEN_S for at_s in moments)} calls that fit are served at first")
        self.expect_answered([await call for call in running], "sent before the stop, longer than the grace")
        await asyncio.sleep(1)
        self.expect(entry.process.poll() == 0, f"the instance ends within its grace: {entry.process.poll()}")


if __name__ == "__main__":
    sys.exit(play(LateRequestsTest))
