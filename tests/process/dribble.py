"""Streams that are slow, and streams that never end, through the whole path.

    python3 tests/process/dribble.py

Real processes on loopback. One engine sends sound events with long pauses; one
sends a byte of an event now and then, without an end; one sends bytes of a head
like that. The slow stream reaches its caller whole, event by event; the others
end at the route's time-out, and the instance lets go of the engine.
"""

import asyncio
import sys

import leaving
from soak_fleet import now

ROUTE_TIMEOUT_S = 3.0  # Of the route in leaving.py.
SLACK_S = 0.5
PAUSE_S = 0.5  # Longer than callers like, and below the second after which a silent engine is probed.
EVENTS = 5


class Engine(leaving.Endpoint):
    def __init__(self, fleet, manner):
        super().__init__(fleet, "stream", 0)
        self.manner, self.let_go_at, self.writers = manner, None, []

    def stop(self):
        """Also ends the connections that the instance keeps open for later calls."""
        super().stop()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
            fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
            await reader.readexactly(int(fields.get("content-length", 0)))
            self.reached.append(now())
            start = (f"HTTP/1.1 200 OK\r\nRequest-Id: {fields.get('request-id', '')}\r\nServer-Signature: s\r\n"
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
            await getattr(self, self.manner)(start, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            self.let_go_at = now()
        finally:
            writer.close()

    async def _send(self, writer, data):
        writer.write(data)
        await writer.drain()

    async def slow(self, start, writer):
        await self._send(writer, (start + "\r\n").encode())
        for event in range(EVENTS):
            await asyncio.sleep(PAUSE_S)
            data = b"id: %d\ndata: x\n\n" % (event + 1)
            await self._send(writer, b"%x\r\n%s\r\n" % (len(data), data))
        await self._send(writer, b"0\r\n\r\n")

    async def dribble(self, start, writer):
        await self._send(writer, (start + "\r\n8\r\nid: 1\nda\r\n").encode())
        while True:
            await asyncio.sleep(0.1)
            await self._send(writer, b"1\r\nt\r\n")

    async def dribble_head(self, start, writer):
        await self._send(writer, start.encode())
        while True:
            await asyncio.sleep(0.1)
            await self._send(writer, b"X: y\r\n")


class StreamTest(leaving.Test):
    ENGINE = Engine

    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {}

    async def stream(self, manner):
        """The answer, and how long it took."""
        engine = self.ENGINE(self.fleet, manner)
        self.endpoints = {"stream": [engine]}
        await engine.start()
        await asyncio.sleep(leaving.SPREAD_S)
        start = now()
        answer = await self.call("stream", 0)
        return engine, answer, now() - start

    async def check_slow(self):
        _, answer, took = await self.stream("slow")
        events = answer[2].count(b"data:") if answer else 0
        self.expect(bool(answer) and answer[0] == 200 and answer[3] and events == EVENTS,
                    f"slow but sound: {events} of {EVENTS} events, whole, in {took:.2f} s")

    async def check_endless(self, manner):
        engine, answer, took = await self.stream(manner)
        self.expect(took < ROUTE_TIMEOUT_S + SLACK_S, f"{manner}: ended after {took:.2f} s")
        self.expect(not (answer and answer[0] == 200 and answer[3]), f"{manner}: doesn't look complete")
        await asyncio.sleep(SLACK_S)
        self.expect(engine.let_go_at is not None, f"{manner}: the engine is let go of")

    async def check(self):
        for check in (self.check_slow(), self.check_endless("dribble"), self.check_endless("dribble_head")):
            await check
            for engine in self.all_endpoints():
                engine.stop()


if __name__ == "__main__":
    sys.exit(leaving.play(StreamTest))
