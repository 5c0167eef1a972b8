"""Programs that continue from one turn on two routes, which retain their own turns for different times.

    python3 tests/process/kept_turn_gone_with_its_copy.py

Guards against: a copy of a turn in another group lived by the route that continued from it; after
its time the group still seemed to have it until its next command, and the program got 404 while
the turn's own group had it. Real processes on loopback.
"""

import asyncio
import json
import sys

import leaving
from leaving import HOST, KEY
from soak_fleet import CALLER_PORT, CONTROL_PORT, http, now

RETENTION_S = {"long": 60.0, "short": 1.0}
PROGRAMS = 32  # Several for each group.
READY_S = 15
# After the short route's time and its margins (the gateway's TurnRecord, the ledger's m_TurnGraceMs), well before the long
# route's.
IDLE_S = 26.0
LONG_CHAIN_BYTES = 200_000  # Copied in parts.


class CopyTest(leaving.Test):
    async def configure(self):
        route = {"host": HOST, "service": "stream", "kind": "streaming", "timeout_ms": 3000, "attempts": 1,
                 "retains_context": True}
        body = json.dumps({"version": 1, "services": [{"name": "stream", "engine": {"slots": 64, "tokens_per_event": 1}}],
                           "routes": [dict(route, name=name, path_prefix=f"/{name}/", retention_s=retention)
                                      for name, retention in RETENTION_S.items()],
                           "tenants": [{"name": "org", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}]}).encode()
        while not (answer := await http(self.fleet.of("control")[0].host, CONTROL_PORT, "POST",
                                        "/pistachiospool/configuration/replace", body=body)) or answer[0] != 200:
            await asyncio.sleep(0.2)

    async def turn(self, route, program, previous=None, body=b"in"):
        """Its id, and the status once it isn't 503."""
        until, status, request = now() + READY_S, None, ""
        while now() < until and status in (None, 503):
            self.last_id += 1
            request = f"{self.last_id:016x}"
            headers = [("Host", HOST), ("Request-Id", request), ("X-Api-Key", KEY), ("Deadline-Remaining", "3000"),
                       ("Program-Id", program), ("Token-Budget", "99"), ("Token-Counts", "1,12")]
            headers += [("Previous-Turn", previous)] if previous else []
            answer = await http(self.fleet.of("entry")[self.last_id % 2].host, CALLER_PORT, "POST", f"/{route}/0",
                                headers, body)
            status = answer[0] if answer and answer[3] else None
            await asyncio.sleep(0.05)
        return request, status

    async def continue_from(self, turn, route, name):
        answers = await asyncio.gather(*(self.turn(route, f"{name}-{route}-{i}", turn) for i in range(PROGRAMS)))
        return [status for _, status in answers]

    async def check(self):
        turns = {}
        for name, body in (("short chain", b"in"), ("long chain", bytes(LONG_CHAIN_BYTES))):
            turns[name], status = await self.turn("long", f"first {name}".replace(" ", "-"), None, body)
            self.expect(status == 200, f"{name}: the turn on the route that retains it for "
                                       f"{RETENTION_S['long']:.0f} s is answered {status}")
        begun = now()
        for name, turn in turns.items():
            found = await self.continue_from(turn, "short", name.replace(" ", "-"))
            self.expect(set(found) == {200}, f"{name}: programs on the other route get {sorted(set(map(str, found)))}")
        await asyncio.sleep(IDLE_S)
        # Side by side: the first command of a group removes all that has expired.
        found = await asyncio.gather(*(self.continue_from(turn, "long", name.replace(" ", "-"))
                                       for name, turn in turns.items()))
        for name, statuses in zip(turns, found):
            self.expect(set(statuses) == {200}, f"{name}: {statuses.count(200)} of {PROGRAMS} later programs are "
                                                f"served, {statuses.count(404)} get 404")
        self.expect(now() - begun < RETENTION_S["long"], f"that was {now() - begun:.0f} s after the turns")


if __name__ == "__main__":
    sys.exit(leaving.play(CopyTest))
