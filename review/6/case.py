"""A client names in Expected-Version weights that no worker of the service has yet."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-2"))

from small_fleet import (BROKEN, HELD, TROUBLE, ZONES, CannotRun, Engine, Fleet, http, manifest,  # noqa: E402
                         new_id, route, run_case, turn_headers)

WEIGHTS = "1"
EXPECTED = "2" if TROUBLE else WEIGHTS
TRIES = 5  # Of rule LOST.
FIRST_TURNS_SHARE = 0.9  # Of rule LOST: that reach a worker.
PROGRAM_MS = 60_000  # Until the program's aim.
LATER_S = 12  # Longer than contact_ms and than any interval of a heartbeat.


class WeightedEngine(Engine):
    """Answers 421 to a request that expects other weights, and doesn't run it."""

    def refusal(self, fields):
        if fields.get("expected-version", WEIGHTS) == WEIGHTS:
            return None
        return (f"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {fields['request-id']}\r\n"
                f"Not-Executed: 1\r\nWeight-Versions: {WEIGHTS}\r\nContent-Length: 0\r\n\r\n").encode()


class Others:
    """First turns of other programs, nearly all of them on the other service."""

    def __init__(self, fleet, workers):
        self.fleet, self.workers, self.over = fleet, workers, False
        self.ids = []
        self.tasks = [asyncio.create_task(self.client(node)) for node in fleet.of("frontend")]

    async def client(self, node):
        while not self.over:
            headers = turn_headers(f"other-{new_id()}")
            self.ids.append(headers["Request-Id"])
            await http(node.host, 8368, "POST", "/chat-b/1", headers, b"good morning")
            await asyncio.sleep(0.2)

    def share(self):
        ran = {run[0] for worker in self.workers for run in worker.ran}
        return sum(i in ran for i in self.ids) / max(1, len(self.ids))


async def case(record, fleets):
    fleet = Fleet(record)
    fleets.append(fleet)
    fleet.start()
    workers = [WeightedEngine(fleet, service, zone) for service in ("llm-a", "llm-b") for zone in ZONES]
    for worker in workers:
        await worker.start()
    routes = [route(f"chat-{name}", "streaming", f"llm-{name}", retains_context=True, sticky_sessions=True,
                    target_gap_ms=200) for name in "ab"]
    await fleet.operate(manifest(routes, {"llm-a": True, "llm-b": True}))
    await fleet.until_ready()
    await asyncio.sleep(4)  # All machines are in touch.
    fronts = fleet.of("frontend")

    def ran(request):
        return [worker.id for worker in workers for run in worker.ran if run[0] == request] or "at no worker"

    async def turn(node, program, previous=None, **more):
        headers = dict(turn_headers(program, previous, program_ms=PROGRAM_MS), **more)
        answer = await http(node.host, 8368, "POST", "/chat-a/1", headers, b"good morning")
        record.write(f"{node.name}: turn of {program}, {more or 'any weights'}: {answer}, ran: "
                     f"{ran(headers['Request-Id'])}")
        return headers["Request-Id"], answer

    first, answer = await turn(fronts[0], "program")
    answered_at = time.monotonic()
    if answer.status != 200 or not answer.whole:
        raise CannotRun("the program's first turn was not served")
    others = Others(fleet, workers)
    for node in fronts:
        await turn(node, f"eager-{node.name}", **{"Expected-Version": EXPECTED})
    await asyncio.sleep(LATER_S)
    reached = 0
    for attempt in range(TRIES):
        request, answer = await turn(fronts[attempt % len(fronts)], "program", first)
        reached += ran(request) != "at no worker"
        if reached:
            break
        await asyncio.sleep(0.4)
    others.over = True
    await asyncio.gather(*others.tasks)
    share = others.share()
    record.write(f"{share:.0%} of {len(others.ids)} first turns of other programs reached a worker")
    record.write(f"workers of llm-a, all of them idle, announced themselves as ready "
                 f"{[worker.seq for worker in workers[:3]]} times")
    record.write(f"the second turn of the program reached {'a worker' if reached else f'no worker in {TRIES} tries'}, "
                 f"{time.monotonic() - answered_at:.0f} s after its first turn, which is to be kept for 60 s")
    for worker in workers:
        await worker.stop()
    return HELD if reached or share < FIRST_TURNS_SHARE else BROKEN


run_case(HERE, case)
