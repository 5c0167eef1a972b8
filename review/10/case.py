"""Streams that begin while the machines that count are down are taken up long after."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-2"))

from small_fleet import (BROKEN, HELD, TROUBLE, ZONES, CannotRun, Engine, Fleet, Notes, manifest, new_id,  # noqa: E402
                         request_bytes, route, run_case)

STREAMS = 18  # Rule LOST speaks of 12 or more that are taken up.
DOWN_S = 0.8
FRONTENDS = 9  # Of mlpg-spool; one of them is killed: node_kill has a share of 0.16 there.
FRONTEND_DOWN_S = 1.0  # for_s is 3.5 there.
# In touch again after contact_ms, and service may be suspended until recovery_s after all are back.
CALM_S = 14
CLIENT_MS = 40_000
GAP_S = 2  # After it a client gives a stream up.


class LongEngine(Engine):
    events, piece_s = 60, 0.4


class Stream:
    """What a client has of one stream over its attempts."""

    def __init__(self):
        self.id, self.events, self.outcomes = new_id(), 0, []

    async def attempt(self, node, resumes=False):
        headers = {"Host": "desk.example", "Request-Id": new_id() if resumes else self.id, "X-Api-Key": "key-1",
                   "Deadline-Remaining": str(CLIENT_MS)}
        if resumes:
            headers.update({"Resumes": self.id, "Last-Event-Id": str(self.events)})
        before = self.events
        Notes.sent(node.host, "POST", "/report/1", headers, b"write the report")
        self.outcomes.append(await self.read(node, headers))
        Notes.answered(headers, f"{self.outcomes[-1]}, {self.events - before} events")
        return self.events > before

    async def read(self, node, headers):
        reader, writer = await asyncio.open_connection(node.host, 8368)
        try:
            writer.write(request_bytes("POST", "/report/1", headers, b"write the report"))
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), GAP_S)
            status = int(head.split()[1])
            if status != 200:
                return str(status)
            while True:
                size = int(await asyncio.wait_for(reader.readuntil(b"\r\n"), GAP_S), 16)
                await reader.readexactly(size + 2)
                if size == 0:
                    return "whole"
                self.events += 1
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as fault:
            return type(fault).__name__
        finally:
            writer.close()


async def case(record, fleets):
    fleet = Fleet(record, frontends=FRONTENDS)
    fleets.append(fleet)
    fleet.start()
    workers = [LongEngine(fleet, "llm", ZONES[i % 3]) for i in range(4)]
    for worker in workers:
        await worker.start()
    await fleet.operate(manifest([route("report", "streaming", "llm", resumable=True, timeout_ms=CLIENT_MS,
                                        target_gap_ms=1000)], {"llm": True}))
    await fleet.until_ready()
    await asyncio.sleep(5)
    killed, *fronts = fleet.of("frontend")
    counted = fleet.of("core") + fleet.of("storage")
    if TROUBLE:
        for node in counted:
            node.end()
        record.write(f"killed at once: {[node.name for node in counted]}")
    streams = [Stream() for _ in range(STREAMS)]
    first = [asyncio.create_task(stream.attempt(killed)) for stream in streams]
    await asyncio.sleep(DOWN_S)
    if TROUBLE:
        for node in counted:
            node.start()
        record.write("all of them are started again")
    await asyncio.sleep(CALM_S)
    begun = sum(stream.events > 0 for stream in streams)
    record.write(f"{begun} of {STREAMS} streams have brought events; {killed.name}, which passes them on, is killed")
    if begun < 12:
        raise CannotRun("too few streams began")
    killed.end()
    await asyncio.gather(*first)
    asyncio.get_running_loop().call_later(FRONTEND_DOWN_S, killed.start)
    broken = [stream for stream in streams if stream.events and stream.outcomes[0] != "whole"]
    fresh = [Stream() for _ in range(STREAMS)]
    fresh_tasks = [asyncio.create_task(stream.attempt(fronts[i % len(fronts)])) for i, stream in enumerate(fresh)]

    had = {stream.id: stream.events for stream in broken}

    async def take_up(number, stream):
        for attempt in range(3):  # The first one, and two retries.
            if await stream.attempt(fronts[(number + attempt) % len(fronts)], resumes=True):
                return True
            await asyncio.sleep(0.4)
        return False
    tasks = [asyncio.create_task(take_up(i, stream)) for i, stream in enumerate(broken)]
    await asyncio.sleep(6)
    went_on = sum(stream.events > had[stream.id] for stream in broken)
    new_begun = sum(stream.events > 0 for stream in fresh)
    for stream in broken:
        record.write(f"stream {stream.id}: {had[stream.id]} events before it was taken up, {stream.events} now; "
                     f"attempts that ended: {stream.outcomes}")
    record.write(f"taken up: {len(broken)}, went on: {went_on}; new streams: {len(fresh)}, began: {new_begun}")
    for task in tasks + fresh_tasks:
        task.cancel()
    for worker in workers:
        await worker.stop()
    if len(broken) < 12:
        raise CannotRun("too few streams were taken up")
    return BROKEN if went_on / len(broken) < new_begun / len(fresh) / 2 else HELD


run_case(HERE, case)
