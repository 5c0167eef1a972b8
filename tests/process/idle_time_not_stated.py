"""What answers on kept connections say about how long these may be reused.

    python3 tests/process/idle_time_not_stated.py

Real processes on loopback. A caller that isn't told goes on reusing a connection until
it sees the end of it, so that now and then its request crosses that end. The time that
an answer states holds for the wait after it, also if the limit is lowered meanwhile.
"""

import asyncio
import sys

import idle_connections
import leaving
from soak_fleet import now

LIMIT_S, STATED_S, LOWERED_S = 3.0, 2, 1.0
WORK_S = 1.0  # Longer than a configuration takes to be in force.
SLACK_S = 1.5
TRANSIT_S = 0.5  # From the time that is stated to the limit, at least.


class SlowEndpoint(leaving.Endpoint):
    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
                await reader.readexactly(int(fields.get("content-length", 0)))
                await asyncio.sleep(WORK_S if head[0].split()[1].endswith("/slow") else 0)
                writer.write(self._answer(fields["request-id"]))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The instance left, or the test is over.
        finally:
            writer.close()


class StatedTest(idle_connections.IdleTest):
    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {"whole": [SlowEndpoint(self.fleet, "whole", i) for i in range(2)]}

    async def configure(self, version=1, limits=None):
        await super().configure(version, limits or {"idle_timeout_ms": LIMIT_S * 1000})

    async def check_field(self, connection, data, stated, text):
        connection.send(data)
        fields = await connection.answer() or {}
        self.expect(fields.get("keep-alive") == stated, f"{text}: {fields.get('keep-alive')}, {fields.get('connection')}")

    async def check(self):
        stated = f"timeout={STATED_S}"
        connection, = await self.kept(1)
        await self.check_field(connection, self.request(), stated, "an answer")
        await self.check_field(connection, self.request().replace(b"/whole/", b"/none/"), stated, "a refusal")
        await self.check_field(connection, self.request().replace(b"Host", b"Connection: close\r\nHost"), None,
                               "an answer that ends the connection")
        slow, = await self.kept(1)
        begun = asyncio.ensure_future(self.check_field(slow, self.request().replace(b"/0 ", b"/slow "), stated,
                                                       "an answer that began under the earlier limit"))
        await self.limit(LOWERED_S)
        self.expect(not begun.done(), "the limit is lowered before that answer")
        await begun
        start = now()
        while not slow.ended() and now() < start + LIMIT_S + SLACK_S:
            await asyncio.sleep(0.02)
        self.expect(STATED_S + TRANSIT_S < now() - start < LIMIT_S + SLACK_S,
                    f"that connection ends after {now() - start:.2f} s")


if __name__ == "__main__":
    sys.exit(leaving.play(StatedTest))
