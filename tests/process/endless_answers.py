"""An endpoint that sends bytes without end, through the whole path.

    python3 tests/process/endless_answers.py

Real processes on loopback. Many callers of one instance call an endpoint whose answers
have no end, others call sound endpoints on kept connections. The instance must stay
within its memory, and each call of a sound endpoint is answered whole.
"""

import asyncio
import sys

import leaving
from soak_fleet import CALLER_PORT, ENTRY_MEMORY_MB, now, read_answer

ENDLESS, SOUND = "failed", "whole"  # Names that leaving.py has addresses for.
PLAY_S = 4
ENDLESS_CALLERS, SOUND_CALLERS = 40, 6
PIECE = b"a" * 65536
# What an endpoint sends before it repeats itself, and what it repeats.
ANSWERS = {
    "a body with a length": (b"Content-Length: 100000000000\r\n\r\n", PIECE),
    "a body in chunks": (b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + PIECE + b"\r\n"),
    "a body that ends with its connection": (b"\r\n", PIECE),
    "a head": (b"X: ", PIECE),
}


class EndlessEndpoint(leaving.Endpoint):
    answer = None

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
            fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
            begin, repeated = self.answer
            writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {fields['request-id']}\r\n"
                         "Server-Signature: s\r\n".encode() + begin)
            while True:
                writer.write(repeated)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The instance closed the connection, or the test is over.
        finally:
            writer.close()


class EndlessAnswerTest(leaving.Test):
    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {kind: [(EndlessEndpoint if kind == ENDLESS else leaving.Endpoint)(self.fleet, kind, i)
                                 for i in range(2)] for kind in leaving.KINDS}

    def request(self, kind):
        self.last_id += 1
        return self.last_id, (f"POST /{kind}/0 HTTP/1.1\r\nHost: {leaving.HOST}\r\nRequest-Id: {self.last_id:016x}\r\n"
                              f"X-Api-Key: {leaving.KEY}\r\nDeadline-Remaining: 3000\r\nContent-Length: 2\r\n\r\nin").encode()

    async def call_endless(self, until, whole):
        """Discards what it gets; counts answers that end as whole with 200."""
        host = self.fleet.of("entry")[0].host
        while now() < until:
            writer = None
            try:
                reader, writer = await asyncio.open_connection(host, CALLER_PORT)
                writer.write(self.request(ENDLESS)[1])
                first = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 4)
                last = b""
                while piece := await asyncio.wait_for(reader.read(65536), 4):
                    last = (last + piece)[-5:]
                if first.split()[1] == b"200" and (b"chunked" not in first or last == b"0\r\n\r\n") \
                        and b"Content-Length: 1000000" not in first:
                    whole.append(first)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass  # The answer broke off.
            finally:
                if writer:
                    writer.close()

    async def call_sound(self, until, answers):
        """On a kept connection."""
        host = self.fleet.of("entry")[0].host
        reader, writer = await asyncio.open_connection(host, CALLER_PORT)
        while now() < until:
            try:
                writer.write(self.request(SOUND)[1])
                answers.append((await asyncio.wait_for(read_answer(reader), 4))[0])
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                answers.append(None)
                reader, writer = await asyncio.open_connection(host, CALLER_PORT)
            await asyncio.sleep(0.02)
        writer.close()

    async def check(self):
        entry = self.fleet.of("entry")[0]
        for name, EndlessEndpoint.answer in ANSWERS.items():
            until, whole, answers = now() + PLAY_S, [], []
            await asyncio.gather(*(self.call_endless(until, whole) for _ in range(ENDLESS_CALLERS)),
                                 *(self.call_sound(until, answers) for _ in range(SOUND_CALLERS)))
            peak = entry.peak_mb()
            self.expect(0 < peak < ENTRY_MEMORY_MB, f"{name} without end: {peak} MB at most, {ENTRY_MEMORY_MB} allowed")
            self.expect(not whole, f"{len(whole)} answers without end seem whole")
            good = sum(1 for status in answers if status == 200)
            self.expect(good == len(answers) > 0, f"{good} of {len(answers)} calls of sound endpoints were answered")


if __name__ == "__main__":
    sys.exit(leaving.play(EndlessAnswerTest))
