"""A program goes on from turns whose texts are longer, taken together, than 16 MiB."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-2"))

from small_fleet import (BROKEN, HELD, TROUBLE, ZONES, CannotRun, Engine, Fleet, http, manifest,  # noqa: E402
                         new_id, route, run_case, turn_headers)

TURN_BYTES = 4_000_000 if TROUBLE else 4_000  # body_bytes is 4,194,304.
TURNS = 6
TRIES = 5  # Of rule LOST.
FIRST_TURNS_SHARE = 0.9  # Of rule LOST: that reach a worker.
PROGRAM_MS = 40_000  # Until the program's aim.


class Others:
    """Programs of one turn each."""

    def __init__(self, fleet, workers):
        self.fleet, self.workers, self.over = fleet, workers, False
        self.turns = []  # The ids of the attempts of each.
        self.tasks = [asyncio.create_task(self.client(i)) for i in range(len(fleet.of("frontend")))]

    async def client(self, number):
        fronts = self.fleet.of("frontend")
        while not self.over:
            program, attempts = f"other-{new_id()}", []
            self.turns.append(attempts)
            for attempt in range(2):  # Clients try again once, at another node, after a promise.
                headers = turn_headers(program)
                attempts.append(headers["Request-Id"])
                answer = await http(fronts[(number + attempt) % len(fronts)].host, 8368, "POST", "/chat/1", headers,
                                    b"good morning")
                if answer.status != 503:
                    break
                await asyncio.sleep(0.2)
            await asyncio.sleep(0.3)

    def share(self):
        ran = {run[0] for worker in self.workers for run in worker.ran}
        return sum(any(i in ran for i in attempts) for attempts in self.turns) / max(1, len(self.turns))


async def case(record, fleets):
    fleet = Fleet(record)
    fleets.append(fleet)
    fleet.start()
    workers = [Engine(fleet, "llm", zone) for zone in ZONES]
    for worker in workers:
        await worker.start()
    await fleet.operate(manifest([route("chat", "streaming", "llm", retains_context=True, sticky_sessions=True,
                                        target_gap_ms=200)], {"llm": True}))
    await fleet.until_ready()
    await asyncio.sleep(4)  # All machines are in touch.
    fronts = fleet.of("frontend")
    others = Others(fleet, workers)
    began = time.monotonic()
    previous, answered_at, length = None, 0.0, 0
    lost = False
    for number in range(1, TURNS + 1):
        for attempt in range(1, TRIES + 1):
            left_ms = PROGRAM_MS - int(1000 * (time.monotonic() - began))
            headers = turn_headers("long", previous, budget=9216, program_ms=left_ms)
            body = b"%d" % number * TURN_BYTES
            answer = await http(fronts[(number + attempt) % 3].host, 8368, "POST", "/chat/1", headers, body)
            ran = [(worker.id, run[2]) for worker in workers for run in worker.ran if run[0] == headers["Request-Id"]]
            record.write(f"turn {number}, try {attempt}, {len(body)} B after {length} B that are kept, {left_ms} ms "
                         f"before the aim: {answer}, ran: {ran or 'at no worker'}")
            if answer.status == 200 and answer.whole:
                break
            if ran:
                raise CannotRun("a turn that ran was not answered")
            await asyncio.sleep(0.4)
        else:
            age = time.monotonic() - answered_at
            record.write(f"turn {number} reached no worker in {TRIES} tries; the turn before was answered whole "
                         f"{age:.1f} s ago and is to be kept for 60 s")
            lost = True
            break
        previous, answered_at = headers["Request-Id"], time.monotonic()
        length = max(run[2] for worker in workers for run in worker.ran) + len(answer.body)
    others.over = True
    await asyncio.gather(*others.tasks)
    share = others.share()
    record.write(f"{share:.0%} of {len(others.turns)} first turns of other programs reached a worker")
    resets = sum(len(node.log_lines("event=peer_lost")) for node in fleet.nodes)
    record.write(f"links between machines that were lost: {resets}")
    for worker in workers:
        await worker.stop()
    return BROKEN if lost and share >= FIRST_TURNS_SHARE else HELD


run_case(HERE, case)
