"""A frontend machine freezes while turns end there, and wakes again; the programs
return within retention_s."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import harness
from harness import KEY, TENANT, TROUBLE, CannotRun, Worker, World, read_head

RETENTION_S = 60.0
FRONTS = 9
CALLERS_OF_FRONT = 8
THINK_S = 0.012 # Between two turns of a caller.
SAMPLE = 20  # Turns without delay whose programs come back, too.
FREEZES = 12
FREEZE_S = 2.2  # The site's node_freeze lasts 3.2 s, a turn's time budget is 3 s.
PAUSE_S = 0.35
LATE_S = 1.5
RETURNS_BEFORE_END_S = 0.4

ROUTE = {"name": "r-ispuxsr", "host": harness.HOST, "path_prefix": "/lohu930/", "kind": "streaming",
         "timeout_ms": 3000, "target_latency_ms": 200, "priority": 1, "service": "models", "attempts": 1,
         "retains_context": True, "retention_s": RETENTION_S, "public": False, "sticky_sessions": True,
         "resumable": False, "target_gap_ms": 200}


class Model(Worker):
    async def work(self, path, fields, body, head, writer):
        data = f"id: 1\ndata: {fields['request-id']}\n\n".encode()
        writer.write((f"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode() + b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data))


class Freezes(World):
    def __init__(self, folder):
        super().__init__(folder, fronts=FRONTS)
        self.workers = [Model(self, "models", i, 12, 36) for i in range(9)]
        self.over = False
        self.turns, self.gaps = 0, []
        self.late, self.sample = [], []
        self.broken = []

    def on_run(self, worker, method, path, fields, body):
        pass  # Thousands of turns; those that matter are recorded by their callers.

    async def caller(self, node):
        """First turns of programs, one after the other, on a channel that is kept."""
        channel = None
        while not self.over:
            program, request = self.new_id()[:8], self.new_id()
            try:
                if channel is None:
                    channel = await asyncio.wait_for(asyncio.open_connection(node.host, self.fleet.caller_port), 1.0)
                reader, writer = channel
                body = b"[input one]"
                writer.write((f"POST /lohu930/4b HTTP/1.1\r\nHost: {harness.HOST}\r\nRequest-Id: {request}\r\n"
                              f"Deadline-Remaining: 3000\r\nX-Api-Key: {KEY}\r\nModel: m\r\nProgram-Id: {program}\r\n"
                              f"Session-Id: {program}-s\r\nProgram-Deadline: 9000\r\nToken-Budget: 2304\r\n"
                              f"Token-Counts: 600,288\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
                whole = await asyncio.wait_for(self.read_turn(reader, program, request), 4.0)
                if not whole:
                    raise OSError
                await asyncio.sleep(random.uniform(0.5, 1.5) * THINK_S)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                if channel:
                    channel[1].close()
                channel = None
                await asyncio.sleep(0.1)

    async def read_turn(self, reader, program, request):
        first, fields = await read_head(reader)
        if first.split()[1] != "200":
            await reader.readexactly(int(fields.get("content-length", 0)))
            return False
        event_at = None
        while True:
            size = int((await reader.readline()).strip() or b"x", 16)
            await reader.readexactly(size + 2)
            now = time.monotonic()
            if size > 0:
                event_at = now
                continue
            self.turns += 1
            self.gaps.append(now - event_at)
            if self.turns % 400 == 1 and len(self.sample) < SAMPLE and now - event_at < 0.1:
                self.sample.append((now, program, request, now - event_at))
            if now - event_at >= LATE_S:
                self.late.append((now, program, request, now - event_at))
                self.record.write(f"turn {request} of {program} was answered whole, "
                                  f"{now - event_at:.2f} s after its last event")
            return True

    async def come_back(self, at, program, request, gap):
        await asyncio.sleep(max(0.0, at + RETENTION_S - RETURNS_BEFORE_END_S - time.monotonic()))
        headers = [("Model", "m"), ("Program-Id", program), ("Session-Id", program + "-s"),
                   ("Program-Deadline", "9000"), ("Token-Budget", "2304"), ("Token-Counts", "600,288"),
                   ("Previous-Turn", request)]
        _, answer = await self.send(random.choice(self.fleet.of("frontend")), "POST", "/lohu930/4b", headers,
                                    b"[input two]")
        age = time.monotonic() - at
        if answer and answer.status in (404, 410) and age < RETENTION_S:
            self.broken.append(f"LOST: turn {request} was answered whole {age:.2f} s ago and is answered "
                               f"{answer.status}; its end had come {gap:.2f} s after its last event")


async def play(world):
    await world.start(world.document(
        [ROUTE], [{"name": TENANT, "api_keys": [KEY], "priority": 1, "rate_per_s": 2780, "burst": 2780}]))
    callers = [asyncio.ensure_future(world.caller(node))
               for node in world.fleet.of("frontend") for _ in range(CALLERS_OF_FRONT)]
    await asyncio.sleep(1.0)
    for i in range(FREEZES):
        node = world.fleet.of("frontend")[i % FRONTS]
        if TROUBLE:
            node.signal(harness.signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            node.signal(harness.signal.SIGCONT)
        else:
            await asyncio.sleep(FREEZE_S)
        await asyncio.sleep(PAUSE_S)
    world.over = True
    await asyncio.wait(callers, timeout=4.5)
    gaps = sorted(world.gaps)
    world.record.write(f"{world.turns} turns; from the last event to the end: median {gaps[len(gaps) // 2]:.4f} s, "
                       f"99 in 100 {gaps[len(gaps) * 99 // 100]:.4f} s; {len(world.late)} late")
    print(f"{world.turns} turns, {len(world.late)} late ends, median {gaps[len(gaps) // 2]:.4f}")
    await asyncio.gather(*(world.come_back(*late) for late in world.late + world.sample))
    return world.broken


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, Freezes, play))
