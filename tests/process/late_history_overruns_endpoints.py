"""Turns while one history node after another is late all the time, and once none is any more.

    python3 tests/process/late_history_overruns_endpoints.py

Real processes on loopback. A late node stands still again and again, for longer than a slot
allocator usually takes to reply and for less than it takes to lose its leadership.
Endpoints count the turns that they have at once: late isn't lost, so no turn is sent past the
allocator to an endpoint whose slots are taken. Afterwards service is as before.
"""

import asyncio
import json
import signal
import sys

import leaving
from leaving import HOST, KEY
from soak_fleet import CALLER_PORT, CONTROL_PORT, http, now

SLOTS, ENDPOINTS = 8, 2  # As leaving.py announces them.
TURN_S = 0.1
CALLERS = 3 * SLOTS * ENDPOINTS
TURNS = 4  # Of a program.
CALM_S, LATE_S, AFTER_S = 4.0, 4.0, 4.0
STOPPED_S, RUNNING_S = 0.26, 0.04  # The allocator's timeout is 225 ms, that of an election 400 ms.
RECOVERY_S = 2.0
MIN_SHARE = 0.8  # Of the calm rate, after RECOVERY_S.
MAX_RETRY_S = 1.0


class CountingEndpoint(leaving.Endpoint):
    def __init__(self, fleet, index):
        super().__init__(fleet, "stream", index)
        self.running = self.overruns = self.most = 0
        self.ends = []  # Times.

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
                await reader.readexactly(int(fields.get("content-length", 0)))
                self.running += 1
                self.most = max(self.most, self.running)
                self.overruns += self.running > SLOTS
                await asyncio.sleep(TURN_S)
                self.running -= 1
                self.ends.append(now())
                writer.write(self._answer(fields["request-id"]))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The instance left, or the test is over.
        finally:
            writer.close()


class LateHistoryTest(leaving.Test):
    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {"stream": [CountingEndpoint(self.fleet, i) for i in range(ENDPOINTS)]}
        self.over = False

    async def configure(self):
        body = json.dumps({
            "version": 1,
            "routes": [{"name": "stream", "host": HOST, "path_prefix": "/stream/", "service": "stream",
                        "kind": "streaming", "timeout_ms": 3000, "attempts": 1, "retention_s": 60.0}],
            "services": [{"name": "stream", "engine": {"slots": SLOTS, "tokens_per_event": 1}}],
            "tenants": [{"name": "org", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}]}).encode()
        while not (answer := await http(self.fleet.of("control")[0].host, CONTROL_PORT, "POST",
                                        "/pistachiospool/configuration/replace", body=body)) or answer[0] != 200:
            await asyncio.sleep(0.2)

    async def run_programs(self, caller):
        """One after another; a refused turn comes back when it is told to."""
        while not self.over:
            program = f"p{caller}-{self.last_id}"
            for turn in range(TURNS):
                while not self.over:
                    self.last_id += 1
                    headers = [("Host", HOST), ("Request-Id", f"{self.last_id:016x}"), ("X-Api-Key", KEY),
                               ("Deadline-Remaining", "3000"), ("Program-Id", program), ("Token-Budget", "99"),
                               ("Token-Counts", "1,3")]
                    answer = await http(self.fleet.of("entry")[(caller + turn) % 2].host, CALLER_PORT, "POST", "/stream/0",
                                        headers, b"in")
                    if answer and answer[0] == 200:
                        break
                    await asyncio.sleep(min(MAX_RETRY_S, float(answer[1].get("retry-after", 0.1)) if answer else 0.1))

    async def be_late(self, node):
        until = now() + LATE_S
        while now() < until:
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(STOPPED_S)
            node.signal(signal.SIGCONT)
            await asyncio.sleep(RUNNING_S)

    def ended_between(self, start, end):
        return sum(start <= t < end for e in self.endpoints["stream"] for t in e.ends)

    def overruns(self):
        return sum(e.overruns for e in self.endpoints["stream"])

    async def check(self):
        callers = [asyncio.ensure_future(self.run_programs(i)) for i in range(CALLERS)]
        await asyncio.sleep(1)
        start = now()
        await asyncio.sleep(CALM_S)
        calm = self.ended_between(start, now()) / (now() - start)
        before = self.overruns()
        self.expect(before == 0, f"in calm: {calm:.0f} turns a second, {before} sent to an endpoint whose slots were taken")

        start = now()
        for node in self.fleet.of("history"):
            await self.be_late(node)
        late = self.ended_between(start, now()) / (now() - start)
        overruns = self.overruns() - before
        most = max(e.most for e in self.endpoints["stream"])
        self.expect(overruns == 0, f"history is late: {late:.0f} turns a second, {overruns} sent to an endpoint whose slots "
                    f"were taken, at most {most} at once of {SLOTS}")
        self.expect(late > 0, "and turns are served meanwhile")

        await asyncio.sleep(RECOVERY_S)
        start = now()
        await asyncio.sleep(AFTER_S)
        after = self.ended_between(start, now()) / (now() - start)
        self.expect(after >= MIN_SHARE * calm, f"{RECOVERY_S} s after: {after:.0f} turns a second, {calm:.0f} before")
        self.over = True
        await asyncio.gather(*callers)


if __name__ == "__main__":
    sys.exit(leaving.play(LateHistoryTest))
