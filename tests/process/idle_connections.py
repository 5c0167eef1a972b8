"""Requests on kept connections that meet the end of the connection.

    python3 tests/process/idle_connections.py [SEED]

Real processes on loopback. Callers reuse kept connections around the idle limit,
around configurations that raise and lower it, and around a planned stop. Most
requests are sent while the instance is suspended: they have all arrived on open
connections when it goes on and finds its timers expired, so that none of them
can have crossed the end of its connection. The other requests are sent while
the limit that callers go by still holds. Each needs an answer.
"""

import asyncio
import pathlib
import random
import signal
import sys

import leaving
from soak_fleet import CALLER_PORT, now, read_answer

LIMIT_S, RAISED_S, LONG_S = 1.0, 3.0, 15.0
REUSED_UP_TO = 0.8  # Of the limit, by callers.
DRAIN_S = 3.0  # A stopping instance closes idle connections after this time.
SLACK_S = 1.0
ANSWER_S = 5.0
MANY, SOME = 300, 50
START_S = 10  # Attempts to open a connection that is kept.


class Connection:
    """A connection of a caller, with a request that is answered but the connection kept."""

    def __init__(self, test, instance):
        self.test, self.host = test, test.fleet.of("entry")[instance].host
        self.waits_since = 0.0  # Not after the instance began to wait.
        self.expected = 0

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.host, CALLER_PORT)
        return self

    async def keep(self):
        until = now() + START_S
        while now() < until:
            await self.open()
            self.waits_since = now()
            self.send(self.test.request())
            fields = await self.answer()
            if fields and fields.get("connection") == "keep-alive":
                return self
            self.writer.close()
        raise RuntimeError("no connection was kept")

    def send(self, data, whole=1):
        self.expected += whole
        self.writer.write(data)

    def ended(self):
        return self.reader.at_eof() or self.reader.exception() is not None

    async def answer(self):
        """Headers of the next answer, or None."""
        try:
            fields = (await asyncio.wait_for(read_answer(self.reader), ANSWER_S))[1]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None
        self.expected -= 1
        return fields

    async def lost(self):
        """How many requests got no answer."""
        while self.expected and await self.answer():
            pass
        return self.expected


class IdleTest(leaving.Test):
    def __init__(self, data):
        super().__init__(data)
        self.random = random.Random(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
        self.version = 1

    def request(self):
        self.last_id += 1
        return (f"POST /whole/0 HTTP/1.1\r\nHost: {leaving.HOST}\r\nContent-Length: 2\r\n"
                f"Request-Id: {self.last_id:016x}\r\nX-Api-Key: {leaving.KEY}\r\n"
                "Deadline-Remaining: 3000\r\n\r\nin").encode()

    async def configure(self, version=1, limits=None):
        """The first configuration has the limit too, since an earlier one would last."""
        await super().configure(version, limits or {"idle_timeout_ms": LIMIT_S * 1000})

    async def limit(self, seconds):
        """Puts an idle limit in force; when it was sent."""
        self.version += 1
        sent_at = now()
        await self.configure(self.version, {"idle_timeout_ms": seconds * 1000})
        while any(f"version={self.version} " not in (self.fleet.data / f"{n.name}.log").read_text()
                  for n in self.fleet.of("entry")):
            await asyncio.sleep(0.02)
        return sent_at

    async def kept(self, count, instance=0):
        return await asyncio.gather(*(Connection(self, instance).keep() for _ in range(count)))

    async def suspend(self, instance):
        node = self.fleet.of("entry")[instance]
        node.signal(signal.SIGSTOP)
        status = pathlib.Path(f"/proc/{node.process.pid}/stat")
        while status.read_text().rsplit(")", 1)[1].split()[0] != "T":
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)  # Ends of connections before it have been seen then.

    def resume(self, instance):
        self.fleet.of("entry")[instance].signal(signal.SIGCONT)

    async def send_by(self, connection, earliest, latest):
        """Sends a request between two times; whether it was sent in time."""
        await asyncio.sleep(self.random.uniform(earliest, latest) - now())
        connection.send(self.request())
        return now() <= latest

    async def expect_answers(self, connections, text):
        lost = sum(await asyncio.gather(*(c.lost() for c in connections)))
        self.expect(lost == 0, f"{text}: {lost} requests on {len(connections)} connections without an answer")
        for connection in connections:
            connection.writer.close()

    async def check_relied_on(self, connections, first, last, until, text):
        """Reuses connections while callers may; times since each began to wait."""
        in_time = await asyncio.gather(*(self.send_by(c, c.waits_since + first, min(c.waits_since + last, until))
                                         for c in connections))
        self.expect(sum(in_time) >= len(connections) / 2, f"{text}: {sum(in_time)} were sent in time")
        await self.expect_answers([c for c, timely in zip(connections, in_time) if timely], text)

    async def check_expired_meanwhile(self):
        connections = await self.kept(MANY)
        await asyncio.sleep(connections[0].waits_since + LIMIT_S / 2 - now())
        await self.suspend(0)
        open_ones = [c for c in connections if not c.ended()]
        last = now() + LIMIT_S / 4
        await asyncio.gather(*(self.send_by(c, now(), last) for c in open_ones))
        await asyncio.sleep(LIMIT_S / 2)
        self.resume(0)
        self.expect(len(open_ones) >= MANY / 2, f"idle limit: {len(open_ones)} connections were reused")
        await self.expect_answers(open_ones, "idle limit has passed when the request is found")

    async def check_closed(self, text):
        connections = await self.kept(SOME)
        await asyncio.sleep(LIMIT_S + SLACK_S)
        self.expect(all(c.ended() for c in connections), f"{text}: idle connections are closed")

    async def check_raised(self):
        connections = await self.kept(SOME)
        await self.limit(RAISED_S)
        await self.check_relied_on(connections, LIMIT_S * 1.1, RAISED_S * REUSED_UP_TO, now() + RAISED_S,
                                   "raised limit")

    async def check_lowered(self):
        before = await self.kept(SOME)
        lowered_at = await self.limit(LIMIT_S)
        after = await self.kept(SOME)
        until = lowered_at + RAISED_S * REUSED_UP_TO
        await asyncio.gather(
            self.check_relied_on(before, LIMIT_S * 1.1, RAISED_S * REUSED_UP_TO, until, "lowered limit"),
            self.check_relied_on(after, LIMIT_S * 1.1, RAISED_S * REUSED_UP_TO, until,
                                 "lowered limit, waits that began after it"))
        await asyncio.sleep(lowered_at + RAISED_S + SLACK_S - now())
        await self.check_closed("lowered limit, once the earlier one has passed")

    async def check_stop(self, instance):
        node = self.fleet.of("entry")[instance]
        idle, whole, pipelined, begun = [await self.kept(count, instance) for count in (SOME, MANY, SOME, SOME)]
        stop_at = now()
        node.signal(signal.SIGTERM)
        halves = {c: self.request() for c in begun}
        await asyncio.sleep(self.random.uniform(0.5, 0.8) * DRAIN_S)
        for connection, data in halves.items():
            connection.send(data[:len(data) // 2], 0)
        await asyncio.sleep(stop_at + DRAIN_S * 0.9 - now())
        await self.suspend(instance)
        new = [await Connection(self, instance).open() for _ in range(SOME)]
        last = now() + 0.2
        await asyncio.gather(*(self.send_by(c, now(), last) for c in whole + new))
        for connection in pipelined:
            connection.send(self.request() + self.request(), 2)
        await asyncio.sleep(stop_at + DRAIN_S * 1.1 - now())
        self.resume(instance)
        await asyncio.sleep(0.3)
        for connection, data in halves.items():
            connection.send(data[len(data) // 2:])
        for connections, text in ((whole, "a request arrives"), (pipelined, "two requests arrive together"),
                                  (begun, "a request is being read"), (new, "a connection isn't accepted yet")):
            await self.expect_answers(connections, f"planned stop while {text}")
        await asyncio.sleep(SLACK_S)
        self.expect(all(c.ended() for c in idle), "planned stop: idle connections are closed")
        self.expect(node.process.poll() == 0, "planned stop: the process has ended by itself")

    async def check(self):
        await self.check_closed("idle limit")
        await self.check_relied_on(await self.kept(MANY), 0, LIMIT_S * REUSED_UP_TO, now() + LIMIT_S, "idle limit")
        await self.check_expired_meanwhile()
        await self.check_raised()
        await self.check_lowered()
        await self.limit(LONG_S)
        for instance in (0, 1):
            await self.check_stop(instance)


if __name__ == "__main__":
    sys.exit(leaving.play(IdleTest))
