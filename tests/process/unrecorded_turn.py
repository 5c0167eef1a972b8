"""Turns whose last event comes while the history is changing leaders.

    python3 tests/process/unrecorded_turn.py

Real processes on loopback. The streams of retained turns wait for their last event
until history nodes are killed, frozen or silenced. A silenced node is reached by no
entry instance and may still lead its peers, which it connects to itself. Each stream
ends whole before its deadline, and a later turn may continue from it. Where no leader
comes back in time, no stream looks complete.
"""

import asyncio
import json
import signal
import sys

from leaving import HOST, KEY, Endpoint, Test, play
from silent_endpoint import chunk
from soak_fleet import CALLER_PORT, CONTROL_PORT, http, now

DEADLINE_S = 4.0  # Of each turn; a new leader takes over well within it.
SLACK_S = 0.5
# Enough slots for a round of turns although the slots of earlier rounds are still
# held, since the reports that free them were lost in the trouble.
ENGINES = 6
TOGETHER = 10  # Turns at once, so that there are some in each group and at both instances.
ANSWER_TIMEOUT_S = DEADLINE_S + 4
SETTLE_S = 2.0  # Until a node that was started again has caught up.
# From the trouble to the last events, in seconds: before, with and after the records.
LEADS_S = (0.1, 0.0, -0.005)


class Engine(Endpoint):
    def __init__(self, fleet, index):
        super().__init__(fleet, "stream", index)
        self.waiting, self.last_event, self.bodies = 0, asyncio.Event(), {}

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
            fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
            request = fields.get("request-id", "")
            self.bodies[request] = await reader.readexactly(int(fields.get("content-length", 0)))
            writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nServer-Signature: s\r\nContent-Type: "
                          "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode() +
                         chunk(b"id: 1\ndata: one\n\n"))
            await writer.drain()
            self.waiting += 1
            await self.last_event.wait()
            self.waiting -= 1
            writer.write(chunk(b"id: 2\ndata: two\n\n") + b"0\r\n\r\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The instance left, or the test is over.
        finally:
            writer.close()


class UnrecordedTurnTest(Test):
    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {"stream": [Engine(self.fleet, i) for i in range(ENGINES)]}

    async def configure(self):
        body = json.dumps({
            "version": 1,
            "routes": [{"name": "stream", "host": HOST, "path_prefix": "/stream/", "service": "stream",
                        "kind": "streaming", "timeout_ms": int(DEADLINE_S * 1000), "attempts": 1,
                        "retains_context": True, "retention_s": 60.0}],
            "services": [{"name": "stream", "engine": {"slots": 8, "tokens_per_event": 1}}],
            "tenants": [{"name": "org", "api_keys": [KEY], "rate_per_s": 0, "burst": 0}]}).encode()
        while not (answer := await http(self.fleet.of("control")[0].host, CONTROL_PORT, "POST",
                                        "/pistachiospool/configuration/replace", body=body)) or answer[0] != 200:
            await asyncio.sleep(0.2)

    async def turn(self, program, previous=""):
        """The request's id, the answer and how long it took."""
        self.last_id += 1
        request, start = f"{self.last_id:016x}", now()
        headers = [("Host", HOST), ("Request-Id", request), ("X-Api-Key", KEY),
                   ("Deadline-Remaining", str(int(DEADLINE_S * 1000))), ("Program-Id", program),
                   ("Token-Budget", "99"), ("Token-Counts", "1,12")]
        if previous:
            headers.append(("Previous-Turn", previous))
        instance = self.fleet.of("entry")[self.last_id % 2]
        answer = await http(instance.host, CALLER_PORT, "POST", "/stream/x", headers, b"in",
                            timeout=ANSWER_TIMEOUT_S)
        return request, answer, now() - start

    def release(self, released):
        for engine in self.endpoints["stream"]:
            (engine.last_event.set if released else engine.last_event.clear)()

    async def start_turns(self, name):
        """Turns of as many programs, each of which waits for its last event."""
        self.release(False)
        turns = [asyncio.ensure_future(self.turn(f"{name}-{i}")) for i in range(TOGETHER)]
        until = now() + DEADLINE_S / 2
        while sum(e.waiting for e in self.endpoints["stream"]) < TOGETHER and now() < until:
            await asyncio.sleep(0.01)
        waiting = sum(e.waiting for e in self.endpoints["stream"])
        if waiting < TOGETHER:
            self.expect(False, f"{name}: {waiting} of {TOGETHER} turns wait for their last event")
        return turns

    async def finish(self, turns, begin_trouble, lead_s):
        """Begins the trouble and sends the last events, in the order that lead_s says."""
        first, second = (begin_trouble, lambda: self.release(True)) if lead_s >= 0 else (
            lambda: self.release(True), begin_trouble)
        first()
        if lead_s:
            await asyncio.sleep(abs(lead_s))
        second()
        return await asyncio.gather(*turns)

    @staticmethod
    def is_whole(answer):
        return bool(answer) and answer[0] == 200 and answer[3]

    def others(self, answers):
        """What the callers got whose stream isn't whole."""
        found = [(request, answer and (answer[0], answer[2], answer[3])) for request, answer, _ in answers
                 if not self.is_whole(answer)]
        return f"; the others: {found}" if found else ""

    async def continues(self, program, previous):
        """Whether an engine gets a later turn with the earlier text."""
        until = now() + DEADLINE_S
        while now() < until:  # A group without a leader refuses with 503.
            request, answer, _ = await self.turn(program, previous)
            if self.is_whole(answer):
                bodies = {k: v for e in self.endpoints["stream"] for k, v in e.bodies.items()}
                return bodies[request] == b"inone\ntwo\nin"
            if answer and answer[0] != 503:
                return False
            await asyncio.sleep(0.1)
        return False

    async def check_taken_over(self, name, node, begin, end, lead_s):
        label = f"{name} {node.name} {lead_s:+.3f} s"
        turns = await self.start_turns(label.replace(" ", "-"))
        answers = await self.finish(turns, lambda: begin(node), lead_s)
        whole = sum(self.is_whole(answer) for _, answer, _ in answers)
        longest = max(took for _, _, took in answers)
        self.expect(whole == TOGETHER and longest < DEADLINE_S + SLACK_S,
                    f"{label}: {whole} of {TOGETHER} streams are whole, the last after {longest:.2f} s"
                    f"{self.others(answers)}")
        found = await asyncio.gather(*(
            self.continues(f"{label.replace(' ', '-')}-{i}", request)
            for i, (request, answer, _) in enumerate(answers) if self.is_whole(answer)))
        self.expect(all(found), f"{label}: {sum(found)} of {len(found)} have a next turn")
        end(node)
        await asyncio.sleep(SETTLE_S)

    async def check_no_leader(self):
        turns = await self.start_turns("alone")
        stopped = self.fleet.of("history")[:2]

        def kill():
            for node in stopped:
                node.signal(signal.SIGKILL)
        answers = await self.finish(turns, kill, 0.1)
        whole = sum(self.is_whole(answer) for _, answer, _ in answers)
        longest = max(took for _, _, took in answers)
        self.expect(whole == 0 and longest < DEADLINE_S + SLACK_S,
                    f"without a leader: {whole} of {TOGETHER} streams look complete, "
                    f"the last ends after {longest:.2f} s")
        for node in stopped:
            node.stop_now()
            node.start()

    async def check(self):
        troubles = {
            "killed": (lambda n: n.signal(signal.SIGKILL), lambda n: (n.stop_now(), n.start())),
            "frozen": (lambda n: n.signal(signal.SIGSTOP), lambda n: n.signal(signal.SIGCONT)),
            "silent": (lambda n: n.proxy.set_mode("silent"), lambda n: n.proxy.set_mode("pass")),
        }
        for name, (begin, end) in troubles.items():
            for node, lead_s in zip(self.fleet.of("history"), LEADS_S):
                await self.check_taken_over(name, node, begin, end, lead_s)
        await self.check_no_leader()


if __name__ == "__main__":
    sys.exit(play(UnrecordedTurnTest))
