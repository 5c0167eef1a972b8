"""Turns whose streams break off and are taken up, on a route that retains them.

    python3 tests/process/taken_up_turn_loses_events.py

Guards against: a turn that was taken up after a break was retained without the events before it,
and the next turn ran on that history. Real processes on loopback. Streams break once or several
times, between events and inside one, at other instances each time, and while the caller leaves.
The next turn must get the whole text of the turn, or be refused.
"""

import asyncio
import json
import socket
import sys

import leaving
from leaving import HOST, KEY
from soak_fleet import CALLER_PORT, CONTROL_PORT, http, now
from unframed_answers import RESET

EVENTS = 6
DELIVERY_S = 0.05  # Until the instance has read what was sent before a reset.
PROGRAMS = 4  # Of each part.
HELD_EVENTS = 3
RETRY_S = 0.2
RECORD_WAIT_S = 3.0
GO_ON_S = 12.0
BREAKS = {"once": (3,), "at once": (1,), "twice": (2, 4), "after each": (1, 2, 3, 4, 5), "before the end": (6,),
          "without a new event": (3, 3)}


class BreakingEngine(leaving.Endpoint):
    """Breaks off after the event that is planned next for the turn, inside the one that follows."""

    breaks = {}  # Events, by the program's id.
    bodies = {}  # What was run, by request.

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
                request, program = fields["request-id"], fields["program-id"]
                self.bodies[request] = await reader.readexactly(int(fields["content-length"]))
                writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Signature: s\r\n"
                              "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
                last = int(fields.get("last-event-id", 0))
                holds = head[0].split()[1].endswith("/hold")
                for number in range(last + 1, EVENTS + 2):
                    if holds and number > HELD_EVENTS:
                        await asyncio.sleep(GO_ON_S)
                    planned = self.breaks.get(program)
                    if planned and planned[0] < number:
                        planned.pop(0)
                        writer.write(b"8\r\nid: 9\nda\r\n")
                        await writer.drain()
                        await asyncio.sleep(DELIVERY_S)
                        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                        writer.transport.abort()
                        return
                    if number <= EVENTS:
                        event = f"id: {number}\ndata: {number} of {program}\ndata: by {self.id}\n\n".encode()
                        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The instance left, or the test is over.
        finally:
            writer.close()


def events_of(body):
    """Data of the complete events, by id."""
    found = {}
    for event in body.decode().split("\n\n")[:-1]:
        lines = event.split("\n")
        if lines[0].startswith("id: "):
            found[int(lines[0][4:])] = "\n".join(line[6:] for line in lines[1:])
    return found


class TakenUpTurnTest(leaving.Test):
    def __init__(self, data):
        super().__init__(data)
        BreakingEngine.breaks, BreakingEngine.bodies = {}, {}
        self.endpoints = {"stream": [BreakingEngine(self.fleet, "stream", i) for i in range(4)]}

    async def configure(self):
        route = {"name": "chat", "host": HOST, "path_prefix": "/chat/", "service": "stream", "kind": "streaming",
                 "timeout_ms": 3000, "attempts": 1, "retains_context": True, "retention_s": 60.0, "resumable": True}
        body = json.dumps({"version": 1, "routes": [route],
                           "services": [{"name": "stream", "engine": {"slots": 8, "tokens_per_event": 1}}],
                           "tenants": [{"name": "org", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}]}).encode()
        while not (answer := await http(self.fleet.of("control")[0].host, CONTROL_PORT, "POST",
                                        "/pistachiospool/configuration/replace", body=body)) or answer[0] != 200:
            await asyncio.sleep(0.2)

    async def attempt(self, instance, program, body, previous, resumes, last):
        self.last_id += 1
        request = f"{self.last_id:016x}"
        headers = [("Host", HOST), ("Request-Id", request), ("X-Api-Key", KEY), ("Deadline-Remaining", "3000"),
                   ("Program-Id", program), ("Token-Budget", "9999"), ("Token-Counts", "1,20")]
        headers += [("Previous-Turn", previous)] if previous else []
        headers += [("Resumes", resumes), ("Last-Event-Id", str(last))] if last else []
        return request, await http(self.fleet.of("entry")[instance].host, CALLER_PORT, "POST", "/chat/0", headers, body)

    async def turn(self, program, body, previous=None, alternate=True):
        """Id, events and refusals of a turn; the id is empty if it never ended whole."""
        events, first, refusals, until, tries = {}, None, [], now() + GO_ON_S, 0
        while now() < until:
            instance = tries % 2 if alternate else 0
            request, answer = await self.attempt(instance, program, body, previous, first, max(events, default=0))
            tries += 1
            if answer and answer[0] == 200:
                more = events_of(answer[2])
                first = first or (request if more else None)
                events.update(more)
                if answer[3]:
                    return request, events, refusals
            elif answer:
                refusals.append(answer[0])
            await asyncio.sleep(RETRY_S if not answer or answer[0] != 200 else 0)
        return "", events, refusals

    async def program(self, name, breaks, alternate=True):
        """Whether the next turns ran on the whole text."""
        chain, previous = b"", None
        for number in range(2):
            BreakingEngine.breaks[name] = list(breaks)
            body = f"input {number} of {name}. ".encode()
            turn, events, refusals = await self.turn(name, body, previous, alternate)
            if not turn or sorted(events) != list(range(1, EVENTS + 1)):
                return f"turn {number} has events {sorted(events)}, refused {refusals}"
            if BreakingEngine.bodies[turn] != chain + body:
                return f"turn {number} ran {BreakingEngine.bodies[turn]!r}, due was {chain + body!r}"
            chain += body + "".join(events[k] + "\n" for k in sorted(events)).encode()
            previous = turn
        last, _, refusals = await self.turn(name, b"and then", previous, alternate)
        if not last:
            return f"the last turn was refused {refusals}"
        found = BreakingEngine.bodies[last]
        return "" if found == chain + b"and then" else f"the last turn ran {found!r}, due was {chain!r}"

    async def check_breaks(self):
        for name, breaks in BREAKS.items():
            wrong = await asyncio.gather(*(self.program(f"{name.replace(' ', '-')}-{i}", breaks)
                                           for i in range(PROGRAMS)))
            self.expect(not any(wrong), f"streams that break {name}: "
                                        f"{sum(not each for each in wrong)} of {PROGRAMS} programs go on: "
                                        f"{next((each for each in wrong if each), '')}")

    async def begin_held(self, program):
        """Id and connection of a turn whose engine waits after HELD_EVENTS, which have arrived."""
        self.last_id += 1
        request = f"{self.last_id:016x}"
        reader, writer = await asyncio.open_connection(self.fleet.of("entry")[0].host, CALLER_PORT)
        writer.write((f"POST /chat/hold HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\nX-Api-Key: {KEY}\r\n"
                      f"Deadline-Remaining: 3000\r\nProgram-Id: {program}\r\nToken-Budget: 9999\r\n"
                      "Token-Counts: 1,20\r\nContent-Length: 7\r\n\r\ninput. ").encode())
        received = b""
        while received.count(b"\ndata: by") < HELD_EVENTS or not received.endswith(b"\n\n\r\n"):
            received += await asyncio.wait_for(reader.readuntil(b"\n"), GO_ON_S)
        return request, writer

    async def take_up_held(self, program, request):
        """The status of the last attempt, and the text that the next turn ran on."""
        until, status, turn = now() + RECORD_WAIT_S, None, ""
        while now() < until and not turn:
            again, answer = await self.attempt(1, program, b"input. ", None, request, HELD_EVENTS)
            status = answer and answer[0]
            turn = again if status == 200 and answer[3] else ""
            await asyncio.sleep(RETRY_S)
        if not turn:
            return status, b""
        last, _, _ = await self.turn(program, b"and then", turn, False)
        return status, BreakingEngine.bodies.get(last, b"")

    async def check_left(self):
        """The caller closes its connection in the middle of a stream, and takes it up."""
        request, writer = await self.begin_held("left")
        writer.close()
        _, ran = await self.take_up_held("left", request)
        self.expect(all(b"%d of left" % number in ran for number in range(1, EVENTS + 1)),
                    f"the caller left: the next turn ran {ran!r}")

    async def check_killed(self):
        """Nobody has the events that an instance handed out which was killed."""
        request, _ = await self.begin_held("killed")
        entry = self.fleet.of("entry")[0]
        entry.stop_now()
        status, ran = await self.take_up_held("killed", request)
        self.expect(status == 503 and not ran, f"the instance was killed: answered {status}, the next turn ran {ran!r}")
        _, answer = await self.attempt(1, "killed", b"input. ", None, None, 0)
        self.expect(answer and answer[0] == 200 and answer[3], "the turn can be begun anew")
        entry.start()

    async def check(self):
        await self.check_breaks()
        await self.check_left()
        await self.check_killed()


if __name__ == "__main__":
    sys.exit(leaving.play(TakenUpTurnTest))
