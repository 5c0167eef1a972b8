"""Later turns of a program through an instance that the program is new to.

    python3 tests/process/begun_programs.py

Real processes on loopback. The route retains no turns, so no turn names an
earlier one. The organisation is near its rate, and only the tokens that are
reserved for programs that have begun are left.
"""

import asyncio
import json
import sys

from leaving import HOST, KEY, START_S, Test, play
from soak_fleet import CALLER_PORT, CONTROL_PORT, http

RATE_PER_S, BURST = 2, 16
FILL_S = BURST / RATE_PER_S + 1  # A new leader of control starts with no tokens.
MOST_NEW = 2 * BURST
LATER_TURNS = 4  # Well within the reserved tokens.


class BegunProgramsTest(Test):
    async def configure(self):
        body = json.dumps({
            "version": 1,
            "routes": [{"name": "stream", "host": HOST, "path_prefix": "/stream/", "service": "stream",
                        "kind": "streaming", "timeout_ms": 3000, "attempts": 1, "retention_s": 60.0}],
            "services": [{"name": "stream", "engine": {"slots": 8, "tokens_per_event": 1}}],
            "tenants": [{"name": "org", "api_keys": [KEY], "rate_per_s": RATE_PER_S, "burst": BURST}]}).encode()
        while not (answer := await http(self.fleet.of("control")[0].host, CONTROL_PORT, "POST",
                                        "/pistachiospool/configuration/replace", body=body)) or answer[0] != 200:
            await asyncio.sleep(0.2)

    async def turn(self, program, instance):
        self.last_id += 1
        headers = [("Host", HOST), ("Request-Id", f"{self.last_id:016x}"), ("X-Api-Key", KEY),
                   ("Deadline-Remaining", "3000"), ("Program-Id", program), ("Token-Budget", "99"),
                   ("Token-Counts", "1,3")]
        answer = await http(self.fleet.of("entry")[instance].host, CALLER_PORT, "POST", f"/stream/{instance}",
                            headers, b"in")
        return answer[0] if answer else None

    async def turns(self, programs, instance):
        return await asyncio.gather(*(self.turn(program, instance) for program in programs))

    async def check(self):
        await asyncio.sleep(max(0, FILL_S - START_S))
        self.expect(await self.turn("begun", 0) == 200, "a program begins")
        # All at once, so that a slow machine doesn't refill the tokens meanwhile.
        new = await self.turns([f"new-{i}" for i in range(MOST_NEW)], 0)
        self.expect(429 in new, f"{new.count(200)} more begin, then the rate is reached for new ones")
        later = await self.turns(["begun"] * LATER_TURNS, 1)
        self.expect(later == [200] * LATER_TURNS, f"later turns through the other instance: {later}")
        new = await self.turns([f"other-{i}" for i in range(3)], 1)
        self.expect(429 in new, f"new programs are still kept out of the reserved tokens: {new}")


if __name__ == "__main__":
    sys.exit(play(BegunProgramsTest))
