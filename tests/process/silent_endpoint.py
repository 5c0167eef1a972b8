"""Engines that fall silent in the middle of a turn, through the whole path.

    python3 tests/process/silent_endpoint.py

Real processes on loopback. An engine that pauses, before it reads the request, before
its answer or inside its stream, still completes the turn. The turn of an engine that is silent and accepts no
connection ends long before the route's time-out.
"""

import asyncio
import sys

import dribble
import leaving
from soak_fleet import CALLER_PORT, http

PAUSE_S = 1.6  # A sound engine may pause for "a second or so".
GIVEN_UP_S = 2.0  # A second of silence, the next check, and a connection attempt.
LONG_BODY = b"x" * 400_000  # More than the connection holds while nobody reads.
FIRST, REST = b"id: 1\ndata: x\n\n", b"id: 2\ndata: y\n\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Engine(dribble.Engine):
    async def pause_before_answer(self, start, writer):
        await asyncio.sleep(PAUSE_S)
        await self._send(writer, (start + "\r\n").encode() + chunk(FIRST) + chunk(REST) + b"0\r\n\r\n")

    async def pause_in_stream(self, start, writer):
        await self._send(writer, (start + "\r\n").encode() + chunk(FIRST))
        await asyncio.sleep(PAUSE_S)
        await self._send(writer, chunk(REST) + b"0\r\n\r\n")

    async def unreachable(self, start, writer):
        await self._send(writer, (start + "\r\n").encode() + chunk(FIRST))
        self.server.close()
        await asyncio.sleep(2 * dribble.ROUTE_TIMEOUT_S)


class PausingReader(Engine):
    """Pauses before it reads the request's body."""

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
            fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
            writer.transport.pause_reading()
            await asyncio.sleep(PAUSE_S)
            if not writer.transport.is_closing():
                writer.transport.resume_reading()
            await reader.readexactly(int(fields["content-length"]))
            start = (f"HTTP/1.1 200 OK\r\nRequest-Id: {fields['request-id']}\r\nServer-Signature: s\r\n"
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            await self._send(writer, start.encode() + chunk(FIRST) + chunk(REST) + b"0\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The instance has given up.
        finally:
            writer.close()


class SilentEndpointTest(dribble.StreamTest):
    ENGINE = Engine
    BODY = b"in"

    async def call(self, kind, instance):
        self.last_id += 1
        headers = [("Host", leaving.HOST), ("Request-Id", f"{self.last_id:016x}"), ("X-Api-Key", leaving.KEY),
                   ("Deadline-Remaining", "3000"), ("Program-Id", f"p{self.last_id}"), ("Token-Budget", "99"),
                   ("Token-Counts", "1,12")]
        return await http(self.fleet.of("entry")[instance].host, CALLER_PORT, "POST", f"/{kind}/{instance}", headers,
                          self.BODY)

    async def check_pause_before_reading(self):
        self.ENGINE, self.BODY = PausingReader, LONG_BODY
        await self.check_pause("pause_before_answer")

    async def check_pause(self, manner):
        _, answer, took = await self.stream(manner)
        self.expect(bool(answer) and answer[0] == 200 and answer[3] and answer[2] == FIRST + REST,
                    f"{manner}: {answer and (answer[0], answer[2], answer[3])} in {took:.2f} s")

    async def check_unreachable(self):
        _, answer, took = await self.stream("unreachable")
        self.expect(took < GIVEN_UP_S, f"unreachable: given up after {took:.2f} s")
        self.expect(not (answer and answer[3]), "unreachable: doesn't look complete")

    async def check(self):
        for check in (self.check_pause("pause_before_answer"), self.check_pause("pause_in_stream"),
                      self.check_unreachable(), self.check_pause_before_reading()):
            await check
            for engine in self.all_endpoints():
                engine.stop()


if __name__ == "__main__":
    sys.exit(leaving.play(SilentEndpointTest))
