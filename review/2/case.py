"""A program that returns within retention_s, whose turn then outlasts the
retention of the turn before it."""

import asyncio
import hashlib
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import harness
from harness import KEY, TENANT, TROUBLE, CannotRun, Worker, World

RETENTION_S = 60.0
PROGRAMS = 6
# Without the disruption a program returns long before the end of retention_s.
RETURNS_BEFORE_END_S = 0.4 if TROUBLE else 15.0
EVENTS = {"first": 6, "return": 24, "last": 6}
EVENT_GAP_S = 0.07  # Below the route's target_gap_ms of 200.

ROUTE = {"name": "r-ispuxsr", "host": harness.HOST, "path_prefix": "/lohu930/", "kind": "streaming",
         "timeout_ms": 3000, "target_latency_ms": 200, "priority": 1, "service": "models", "attempts": 1,
         "retains_context": True, "retention_s": RETENTION_S, "public": False, "sticky_sessions": True,
         "resumable": False, "target_gap_ms": 200}


class Model(Worker):
    async def work(self, path, fields, body, head, writer):
        count = EVENTS[path.rsplit("/", 1)[1]]
        mark = hashlib.sha256(body).hexdigest()[:24]
        await self.stream(head, writer, [f"{mark}-{n}" for n in range(count)], EVENT_GAP_S)


class Chains(World):
    def __init__(self, folder):
        super().__init__(folder)
        self.workers = [Model(self, "models", i) for i in range(3)]
        self.bodies = {}
        self.broken = []

    def on_run(self, worker, method, path, fields, body):
        super().on_run(worker, method, path, fields, body)
        self.bodies[fields["request-id"]] = body

    async def turn(self, program, path, chain, previous, mark):
        """One turn. Returns its id and the chain with its input and output."""
        new_input = f"[input {mark} of {program}]\n".encode()
        headers = [("Model", "m"), ("Program-Id", program), ("Session-Id", program + "-s"),
                   ("Program-Deadline", "9000"), ("Token-Budget", "2304"), ("Token-Counts", "600,288")]
        if previous:
            headers.append(("Previous-Turn", previous))
        node = random.choice(self.fleet.of("frontend"))
        request, answer = await self.send(node, "POST", f"/lohu930/{path}", headers, new_input)
        body = self.bodies.get(request)
        if body is not None and body != chain + new_input:
            self.broken.append(f"UNASKED: turn {request} names {previous}; its worker was to receive "
                               f"{len(chain)} bytes of the chain and the new input of {len(new_input)} bytes, "
                               f"and ran {len(body)} bytes: {body[:60]!r}")
        if not answer or answer.status != 200 or not answer.whole:
            return request, None
        texts = [line[6:] + b"\n" for line in answer.body.split(b"\n") if line.startswith(b"data: ")]
        return request, chain + new_input + b"".join(texts)

    async def program(self, number):
        await asyncio.sleep(0.17 * number)
        program = self.new_id()[:6]
        first, chain = await self.turn(program, "first", b"", None, "one")
        if chain is None:
            raise CannotRun("a first turn was not answered")
        answered = time.monotonic()
        await asyncio.sleep(RETENTION_S - RETURNS_BEFORE_END_S)
        second, chain = await self.turn(program, "return", chain, first, "two")
        self.record.write(f"turn {second} ended {time.monotonic() - answered:.2f} s after {first} was answered whole")
        if chain is None:
            return False
        await asyncio.sleep(0.1)
        third, _ = await self.turn(program, "last", chain, second, "three")
        return third in self.bodies


async def play(world):
    await world.start(world.document(
        [ROUTE], [{"name": TENANT, "api_keys": [KEY], "priority": 1, "rate_per_s": 278, "burst": 278}]))
    ran = await asyncio.gather(*(world.program(i) for i in range(PROGRAMS)))
    world.record.write(f"{sum(ran)} of {PROGRAMS} programs had all their turns run")
    if not any(ran):
        raise CannotRun("no program came as far as its third turn")
    return world.broken


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, Chains, play))
