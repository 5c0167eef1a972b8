"""Two requests of a tenant crash the workers that run them, in turn; its sound program goes on later."""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-2"))

from small_fleet import (BROKEN, HELD, TROUBLE, ZONES, CannotRun, Engine, Fleet, http, manifest,  # noqa: E402
                         new_id, route, run_case, turn_headers)

DEADLY = b"deadly" if TROUBLE else b"sound"
BACK_S = 3.0  # A worker that has crashed is back after some seconds.
TRIES = 5  # Of rule LOST.
FIRST_TURNS_SHARE = 0.9  # Of rule LOST: that reach a worker.
CONTACT_S = 3.0
PROGRAM_MS = 60_000  # Until the program's aim.
TENANTS = [{"name": name, "api_keys": [key], "priority": 1, "rate_per_s": 0, "burst": 0}
           for name, key in (("tenant-1", "key-1"), ("tenant-2", "key-2"))]


class MortalEngine(Engine):
    """Ends when it begins to run a request with a deadly body; another start is there some seconds later."""

    crashes = []

    async def run(self, method, path, fields, body, writer):
        if b"deadly" not in body:
            await super().run(method, path, fields, body, writer)
            return
        MortalEngine.crashes.append((time.monotonic(), self.id, fields["request-id"]))
        self.fleet.record.write(f"{self.id} crashes with request {fields['request-id']}")
        await self.stop()
        asyncio.get_running_loop().call_later(BACK_S, lambda: asyncio.create_task(self.come_back()))

    async def come_back(self):
        self.id, self.born, self.seq = f"i-{new_id()[:8]}", int(time.time() * 1000), 0
        await self.start()


async def case(record, fleets):
    fleet = Fleet(record)
    fleets.append(fleet)
    fleet.start()
    workers = [MortalEngine(fleet, "llm", ZONES[i % 3]) for i in range(9)]
    for worker in workers:
        await worker.start()
    await fleet.operate(manifest([route("chat", "streaming", "llm", retains_context=True, sticky_sessions=True,
                                        target_gap_ms=200)], {"llm": True}, TENANTS))
    await fleet.until_ready()
    await asyncio.sleep(4)
    fronts = fleet.of("frontend")

    def ran(request):
        return [worker.id for worker in workers for run in worker.ran if run[0] == request] or "at no worker"

    async def turn(node, program, body, previous=None, key="key-1", note=True):
        headers = turn_headers(program, previous, key=key, program_ms=PROGRAM_MS)
        answer = await http(node.host, 8368, "POST", "/chat/2f", headers, body)
        if note:
            retry = answer.headers.get("retry-after")
            record.write(f"{node.name}: turn of {program} ({headers['Request-Id']}): {answer}, ran: "
                         f"{ran(headers['Request-Id'])}{f', Retry-After: {retry}' if retry else ''}")
        return headers["Request-Id"], answer

    first, answer = await turn(fronts[0], "sound-program", b"good morning")
    answered_at = time.monotonic()
    if answer.status != 200 or not answer.whole:
        raise CannotRun("the sound program's first turn was not served")
    ids, over = [], False
    deadly_sends = 0

    async def others(node):
        while not over:
            request, _ = await turn(node, f"other-{new_id()}", b"good morning", key="key-2", note=False)
            ids.append(request)
            await asyncio.sleep(0.08)
    tasks = [asyncio.create_task(others(node)) for node in fronts]

    async def deadly(number):
        nonlocal deadly_sends
        await asyncio.sleep(0.3 * number)
        for attempt in range(3):  # A turn that has failed is sent again, at most twice.
            deadly_sends += 1
            _, outcome = await turn(fronts[(number + attempt) % 3], f"deadly-program-{number}", DEADLY + b" %d" % number)
            if outcome.status == 200 and outcome.whole or outcome.status == 503:
                break
            await asyncio.sleep(0.4)
    await asyncio.gather(deadly(0), deadly(1))
    await asyncio.sleep(BACK_S + CONTACT_S + 2)
    record.write(f"{len(MortalEngine.crashes)} workers have crashed; all are back")
    reached = False
    for attempt in range(TRIES):
        request, answer = await turn(fronts[attempt % 3], "sound-program", b"go on", first)
        reached = ran(request) != "at no worker"
        if reached:
            break
        await asyncio.sleep(1.0)
    over = True
    await asyncio.gather(*tasks)
    everything = {run[0] for worker in workers for run in worker.ran}
    share = sum(i in everything for i in ids) / max(1, len(ids))
    record.write(f"deadly turns: sent {deadly_sends} times beside {len(ids)} sound ones of the class, "
                 f"{deadly_sends / (deadly_sends + len(ids)):.3f} of all")
    record.write(f"{share:.0%} of {len(ids)} first turns of tenant-2 reached a worker")
    record.write(f"the second turn of the sound program reached {'a worker' if reached else f'no worker in {TRIES} tries'}, "
                 f"{time.monotonic() - answered_at:.0f} s after its first turn, which is to be kept for 60 s")
    held = await http(fleet.of("core")[0].host, 8367, "GET", "/pistachiospool/held-requests/read")
    record.write(f"requests that the system holds: {json.loads(held.body or b'{}').get('requests')}")
    for worker in workers:
        await worker.stop()
    return HELD if reached or share < FIRST_TURNS_SHARE else BROKEN


run_case(HERE, case)
