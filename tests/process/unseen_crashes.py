"""Endpoints that a request ends without the loss of a call's connection.

    python3 tests/process/unseen_crashes.py

Real processes on loopback, as in crashing_request.py. In one part the endpoint closes
the connection after a response without a length, and then ends; in the other it ends
only after the call's deadline. The request is held all the same.
"""

import asyncio
import sys

import crashing_request as crashing
import leaving
from soak_fleet import CALLER_PORT, http

SHORT_DEADLINE_MS = 150
LATE_S = 0.25  # After the deadline.
PAUSE_S = 0.8  # In which an instance finds an endpoint that is down.


class Endpoint(crashing.Endpoint):
    def __init__(self, fleet, index, way):
        super().__init__(fleet, index)
        self.way = way

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                if body == crashing.DEADLY:
                    self.deadly_reached += 1
                    await getattr(self, self.way)(fields, writer)
                    return
                writer.write(self._answer(fields["request-id"]))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller left, or the test is over.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def unframed(self, fields, writer):
        writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {fields['request-id']}\r\nServer-Signature: s\r\n\r\nab".encode())
        await writer.drain()
        self.server.close()
        writer.write_eof()
        await asyncio.sleep(0.05)
        asyncio.ensure_future(self.crash())

    async def late(self, fields, writer):
        asyncio.get_running_loop().call_later(LATE_S, lambda: asyncio.ensure_future(self.crash()))
        await asyncio.sleep(LATE_S)


class UnseenCrashesTest(crashing.CrashingRequestTest):
    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {crashing.SERVICE: [Endpoint(self.fleet, i, "unframed") for i in range(crashing.ENDPOINTS)]}
        self.deadline_ms = 3000

    async def send(self, body, instance, key=leaving.KEY):
        self.last_id += 1
        headers = [("Host", leaving.HOST), ("Request-Id", f"{self.last_id:016x}"), ("X-Api-Key", key),
                   ("Deadline-Remaining", str(self.deadline_ms))]
        return await http(self.fleet.of("entry")[instance].host, CALLER_PORT, "POST", f"/r/{self.deadline_ms}",
                          headers, body)

    async def check_way(self, way):
        for endpoint in self.endpoints[crashing.SERVICE]:
            endpoint.way = way
        before = self.crashes()
        for attempt in range(4 * crashing.MAX_CRASHES):
            answer = await self.send(crashing.DEADLY, attempt % 2)
            if self.is_held(answer):
                break
            await asyncio.sleep(PAUSE_S)
        crashes = self.crashes() - before
        self.expect(self.is_held(answer) and crashes <= crashing.MAX_CRASHES + crashing.MAX_RETRIES,
                    f"{way}: {'held' if self.is_held(answer) else 'not held'} after {crashes} crashes")

    async def check(self):
        await self.check_way("unframed")
        self.deadline_ms = SHORT_DEADLINE_MS
        await self.check_way("late")


if __name__ == "__main__":
    sys.exit(leaving.play(UnseenCrashesTest))
