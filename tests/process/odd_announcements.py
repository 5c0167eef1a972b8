"""Odd announcements of another writer among those of endpoints, through the whole path.

    python3 tests/process/odd_announcements.py [--seed N]

Real processes on loopback. Every odd announcement goes to a control node, under the id
of an endpoint and under one of its own, and then seeded random changes of a valid one
and random bytes. No process may end by itself, each odd one is refused, endpoints that
were announced before and after are followed, and calls are served throughout.
"""

import argparse
import asyncio
import json
import random
import sys
import time

import leaving
from soak_fleet import CONTROL_PORT, ENDPOINT_PORT, http

SERVICE = "whole"  # One of the names that leaving.py has addresses for.
MUTATIONS = 300
FOLLOWED_S = 3.0  # In which instances hear of a change.
MAX_REASON_BYTES = 1000
MAX_PEAK_MB = 200  # Of a control node.
HUGE = ("18446744073709551615", "18446744073709551616", "1e300", "9" * 400)
OTHER_ADDRESS = f'"127.8.9.9:{ENDPOINT_PORT}"'  # Nothing listens there.
SEED = 1


def nested(levels):
    return "[" * levels + "]" * levels


def odd_fields():
    """Pairs of a field and what it holds as JSON text."""
    for field in ("slots", "seq", "born"):
        for value in HUGE + ("-1", "1.5", "null", '"4"', "{}", nested(100), nested(20000), nested(1500000)):
            yield field, value
    yield "slots", "4294967295"
    yield "slots", "4294967304"
    for field in ("service", "address", "zone", "version", "state"):
        for value in ("4", "null", '""', "{}", nested(20000), nested(1500000), '"' + "x" * 50000 + '"'):
            yield field, value
    for port in ("0", "65536", "99999", "-1", "4294967296", "9" * 30, "", "x"):
        yield "address", f'"127.0.0.1:{port}"'
    for address in ("127.0.0.1", "host:80", "[::1]:80", ":80", "300.0.0.1:80", "0.0.0.0:80"):
        yield "address", f'"{address}"'
    yield "service", '"not-configured"'
    yield "state", '"asleep"'


class OddAnnouncementsTest(leaving.Test):
    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {SERVICE: [leaving.Endpoint(self.fleet, SERVICE, i) for i in range(2)]}
        self.random = random.Random(SEED)

    async def configure(self):
        body = json.dumps({
            "version": 1,
            "routes": [{"name": "r", "host": leaving.HOST, "path_prefix": f"/{SERVICE}/", "service": SERVICE,
                        "kind": "unsafe", "timeout_ms": 3000, "attempts": 1}],
            "services": [{"name": SERVICE}],
            "tenants": [{"name": "org", "api_keys": [leaving.KEY], "rate_per_s": 0, "burst": 0}]}).encode()
        while not (answer := await http(self.fleet.of("control")[0].host, CONTROL_PORT, "POST",
                                        "/pistachiospool/configuration/replace", body=body)) or answer[0] != 200:
            await asyncio.sleep(0.2)

    def fields(self):
        """Of a valid announcement of the first endpoint, as JSON texts."""
        endpoint = self.endpoints[SERVICE][0]
        return {"service": f'"{SERVICE}"', "address": f'"{endpoint.host}:{ENDPOINT_PORT}"', "zone": '"zone-0"',
                "version": '"v1"', "slots": "8", "state": '"ready"', "seq": str(endpoint.sequence + 1), "born": str(endpoint.born)}

    @staticmethod
    def body(fields):
        return ("{" + ",".join(f'"{k}":{v}' for k, v in fields.items()) + "}").encode()

    async def announce(self, endpoint, body):
        node = self.random.choice(self.fleet.of("control"))
        return await http(node.host, CONTROL_PORT, "POST", f"/pistachiospool/instances/{endpoint}/heartbeat",
                          body=body, timeout=5)

    async def expect_served(self, text):
        answers = [await self.call(SERVICE, i % 2) for i in range(20)]
        good = sum(1 for a in answers if a and a[0] == 200)
        ends = self.fleet.unexpected_ends()
        self.expect(good == 20 and not ends, f"{text}: {good} of 20 calls are served, ended by themselves: {ends}")

    async def expect_refused(self, text, body, endpoints):
        for endpoint in endpoints:
            answer = await self.announce(endpoint, body)
            if not answer or answer[0] != 400 or len(answer[2]) > MAX_REASON_BYTES:
                self.expect(False, f"{text}: refused in a few words: "
                                   f"{answer and (answer[0], len(answer[2]))} as {endpoint}")

    def mutation(self):
        body = bytearray(self.body(self.fields() | {"address": OTHER_ADDRESS}))
        for _ in range(self.random.randint(1, 4)):
            at = self.random.randrange(len(body))
            change = self.random.randrange(4)
            if change == 0:
                body[at] = self.random.randrange(256)
            elif change == 1:
                del body[at:at + self.random.randint(1, 20)]
            elif change == 2:
                body[at:at] = self.random.randbytes(self.random.randint(1, 20))
            else:
                body[at:at] = self.random.choice((b"[", b"{", b"-", b"9" * 25, b"\0", b'"')) * self.random.randint(1, 9)
            if not body:
                break
        return bytes(body)

    async def check_followed(self):
        """Each endpoint in turn drains and starts anew, while the other one serves."""
        first, second = self.endpoints[SERVICE]
        for endpoint, other in ((first, second), (second, first), (first, second)):
            fields = self.fields() | {"address": f'"{endpoint.host}:{ENDPOINT_PORT}"', "state": '"draining"',
                                      "born": str(endpoint.born), "seq": str(endpoint.sequence + 1)}
            answer = await self.announce(endpoint.id, self.body(fields))
            await asyncio.sleep(FOLLOWED_S)
            before = len(endpoint.reached), len(other.reached)
            await self.expect_served(f"{endpoint.id} drains ({answer and answer[0]})")
            reached = len(endpoint.reached) - before[0], len(other.reached) - before[1]
            self.expect(reached == (0, 20), f"{reached[0]} of the calls reached it, {reached[1]} the other one")
            endpoint.born, endpoint.sequence = int(time.time() * 1000), 0
            await asyncio.sleep(FOLLOWED_S)

    async def check(self):
        for endpoint in self.endpoints[SERVICE]:
            endpoint.born, endpoint.sequence = int(time.time() * 1000), 0
        await asyncio.sleep(1)
        await self.expect_served("before")
        ids = (self.endpoints[SERVICE][0].id, "of-another-writer")
        for field, value in odd_fields():
            # An endpoint that isn't known yet may have a service that isn't configured yet.
            await self.expect_refused(f"{field} {value[:30]}", self.body(self.fields() | {field: value}), ids[:1])
            if "not-configured" not in value:
                fields = self.fields() | {"address": OTHER_ADDRESS, field: value}
                await self.expect_refused(f"{field} {value[:30]}", self.body(fields), ids[1:])
        await self.expect_served("after odd fields")
        for field in self.fields():
            if field != "born":  # Not every endpoint sends it.
                fields = self.fields()
                del fields[field]
                await self.expect_refused(f"without {field}", self.body(fields), ids)
        for body in (b"", b"null", b"[]", b"{", b"\xff\xfe\x00", nested(30000).encode(), nested(2000000).encode(),
                     b"[" * 4000000, b'{"a":' * 10000, self.random.randbytes(5000)):
            await self.expect_refused(f"bytes {body[:12]!r}", body, ids)
        await self.expect_refused("a huge one", self.body(self.fields() | {"x": '"' + "x" * 8000000 + '"'}), ids)
        for endpoint in ("", "x" * 3000, "%0d%0aevent=forged%00", "\xe4"):
            await self.announce(endpoint, self.body(self.fields() | {"address": OTHER_ADDRESS}))
        await self.expect_served("after odd bodies")
        for _ in range(MUTATIONS):
            answer = await self.announce(self.random.choice(("of-another-writer", "of-a-third")), self.mutation())
            if not answer or answer[0] not in (200, 400):
                self.expect(False, f"a random change is answered: {answer and answer[0]}")
        await self.expect_served(f"after {MUTATIONS} random changes")
        await self.check_followed()
        peaks = {node.name: node.peak_mb() for node in self.fleet.of("control")}
        self.expect(all(0 < peak < MAX_PEAK_MB for peak in peaks.values()), f"peak memory in MB: {peaks}")


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=SEED)
    SEED = parser.parse_args().seed
    sys.exit(leaving.play(OddAnnouncementsTest))
