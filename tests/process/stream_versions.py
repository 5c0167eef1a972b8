"""Streams that are taken up while endpoints of two software versions serve.

    python3 tests/process/stream_versions.py

Real processes on loopback. Each event names the version of its endpoint, so the caller sees
whether a stream was joined from two. Streams break off after their first event and are
taken up at another instance; meanwhile all entry instances, history nodes that lead, and
all of them are killed. Counted at the caller: take-ups that go on, and that are refused.
"""

import asyncio
import json
import socket
import sys

import leaving
from leaving import HOST, KEY, Endpoint, Test
from soak_fleet import CALLER_PORT, CONTROL_PORT, http, now
from unframed_answers import RESET

OTHER_KEY = "other-key"
EVENTS = 3
STREAMS = 24  # Of each part.
AT_ONCE_S = 0.3  # A refusal without a wait; a search of the leader takes longer.
DELIVERY_S = 0.05  # Until the instance has read what was sent before a reset.
READY_S = 20
NEW_LEADER_S = 4
GONE_S = 1.0  # In which all nodes hear of endpoints that have left.
LISTENS_S = 5.0  # After a restart control knows which endpoints serve.
BEGIN_TRIES = 3
ROUTES = ("turn", "bare")  # With and without a token budget.
LONE_ROUTES = ("lone-turn", "lone-bare")  # Of a service with one version.


class VersionedEndpoint(Endpoint):
    """Generates EVENTS events. A path that ends with /break resets after the first one of an attempt."""

    def __init__(self, fleet, index, software):
        super().__init__(fleet, "whole" if software == "lone" else "stream", index)
        self.software = software
        self.fails, self.failed = False, 0  # Before the first event.
        self.writers = set()

    def close_connections(self):
        for writer in self.writers:
            writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
                await reader.readexactly(int(fields.get("content-length", 0)))
                self.reached.append(fields["request-id"])
                if self.fails:
                    self.failed += 1
                    return
                first = int(fields.get("last-event-id", 0)) + 1
                writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {fields['request-id']}\r\nServer-Signature: s\r\n"
                              "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
                for number in range(first, EVENTS + 1):
                    event = f"id: {number}\ndata: {self.software}\n\n".encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    if head[0].split()[1].endswith("/break"):
                        await writer.drain()
                        await asyncio.sleep(DELIVERY_S)
                        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                        writer.transport.abort()
                        return
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The instance left, or the test is over.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def leave(self):
        self.over = True
        for node in self.fleet.of("control"):
            await http(node.host, CONTROL_PORT, "POST", f"/pistachiospool/instances/{self.id}/leave", body=b"{}")


class Stream:
    """What a caller has of one stream over all its attempts."""

    def __init__(self, route, name, key):
        self.route, self.name, self.key = route, name, key
        self.begun_by = None  # Id of the attempt that brought the first event.
        self.versions, self.refused, self.whole = [], "", False
        self.retry_after = ""  # Of the last refusal.
        self.waited_s = 0.0

    def last_event(self):
        return len(self.versions)


class StreamVersionsTest(Test):
    attempts = 1  # Of a call, by its route.

    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {"stream": [VersionedEndpoint(self.fleet, i, "v1" if i < 2 else "v2") for i in range(4)],
                          "whole": [VersionedEndpoint(self.fleet, i, "lone") for i in range(2)]}

    async def configure(self):
        route = {"host": HOST, "timeout_ms": 3000, "attempts": self.attempts, "retention_s": 60.0, "service": "stream",
                 "kind": "streaming", "resumable": True}
        organisations = [{"name": name, "api_keys": [key], "rate_per_s": 0, "burst": 0}
                         for name, key in (("org", KEY), ("other", OTHER_KEY))]
        routes = [dict(route, name=r, path_prefix=f"/{r}/") for r in ROUTES]
        routes += [dict(route, name=r, path_prefix=f"/{r}/", service="whole") for r in LONE_ROUTES]
        body = json.dumps({"version": 1, "routes": routes,
                           "services": [{"name": name, "engine": {"slots": 8, "tokens_per_event": 1}}
                                        for name in ("stream", "whole")],
                           "tenants": organisations}).encode()
        while not (answer := await http(self.fleet.of("control")[0].host, CONTROL_PORT, "POST",
                                        "/pistachiospool/configuration/replace", body=body)) or answer[0] != 200:
            await asyncio.sleep(0.2)

    async def attempt(self, stream, instance, breaks, resumes=None):
        """One attempt; its id. Names the stream's first attempt, or the one given as `resumes`."""
        self.last_id += 1
        request = f"{self.last_id:016x}"
        headers = [("Host", HOST), ("Request-Id", request), ("X-Api-Key", stream.key), ("Deadline-Remaining", "3000")]
        if stream.route.endswith("turn"):
            headers += [("Program-Id", stream.name), ("Token-Budget", "999"), ("Token-Counts", "1,12")]
        if stream.last_event():
            headers.append(("Last-Event-Id", str(stream.last_event())))
        if resumes or stream.begun_by:
            headers.append(("Resumes", resumes or stream.begun_by))
        start = now()
        answer = await http(self.fleet.of("entry")[instance].host, CALLER_PORT, "POST",
                            f"/{stream.route}/{'break' if breaks else 'whole'}", headers, b"in")
        stream.waited_s = now() - start
        stream.refused = ""
        if answer and answer[0] == 200:
            stream.versions += [line[6:] for line in answer[2].decode().split("\n") if line.startswith("data: ")]
            stream.whole = answer[3]
            stream.begun_by = stream.begun_by or (request if stream.versions else None)
        else:
            stream.refused = json.loads(answer[2])["kind"] if answer else "no answer"
            stream.retry_after = answer[1].get("retry-after", "") if answer else ""
        return request

    async def begin(self, route, instance, key=KEY):
        stream = Stream(route, f"p{self.last_id}", key)
        for _ in range(BEGIN_TRIES):
            await self.attempt(stream, instance, True)
            if stream.versions:
                break
        return stream

    async def begin_some(self):
        streams = [await self.begin(ROUTES[i % 2], i % 2) for i in range(STREAMS)]
        self.expect(all(s.last_event() == 1 and not s.whole for s in streams) and
                    len({s.versions[0] for s in streams}) == 2, f"{STREAMS} streams begin at both versions and break off")
        return streams

    def expect_joined(self, streams, text, least):
        """`least` of the streams have gone on, and none at another version."""
        mixed = sum(len(set(s.versions)) > 1 for s in streams)
        whole = sum(s.whole and s.last_event() == EVENTS for s in streams)
        kinds = sorted({s.refused for s in streams if s.refused})
        self.expect(not mixed, f"{text}: {mixed} of {len(streams)} streams hold events of two versions")
        self.expect(whole >= least, f"{text}: {whole} of {len(streams)} go on to their end, {len(streams) - whole} are "
                    f"refused: {kinds}")

    async def take_up(self, streams, text, breaks=False):
        for i, stream in enumerate(streams):
            await self.attempt(stream, (i + 1) % 2, breaks)
        if not breaks:
            self.expect_joined(streams, text, len(streams))

    async def until_served(self):
        until = now() + READY_S
        while now() < until:
            probes = [Stream(route, f"probe{self.last_id}", KEY) for route in ROUTES for _ in (0, 1)]
            for i, probe in enumerate(probes):
                await self.attempt(probe, i % 2, False)
            if all(probe.whole for probe in probes):
                return
            await asyncio.sleep(0.2)

    async def check_restarts(self):
        await self.take_up(await self.begin_some(), "at another instance")
        streams = await self.begin_some()
        for node in self.fleet.of("entry"):
            node.stop_now()
        for node in self.fleet.of("entry"):
            node.start()
        await self.until_served()
        await self.take_up(streams, "after all entry instances were killed")
        for victim in self.fleet.of("history"):
            streams = await self.begin_some()
            victim.stop_now()
            await asyncio.sleep(NEW_LEADER_S)
            await self.take_up(streams, f"after {victim.name} was killed")
            victim.start()
            await asyncio.sleep(NEW_LEADER_S)
        streams = await self.begin_some()
        for node in self.fleet.nodes:
            node.stop_now()
        for node in self.fleet.nodes:
            node.start()
        await self.until_served()
        await self.take_up(streams, "after all nodes were killed")

    async def check_chains(self):
        streams = await self.begin_some()
        await self.take_up(streams, "", breaks=True)
        await self.take_up(streams, "taken up twice")
        streams = await self.begin_some()
        for i, stream in enumerate(streams):
            second = await self.attempt(stream, i % 2, True)
            await self.attempt(stream, (i + 1) % 2, False, resumes=second)
        self.expect_joined(streams, "taken up by the name of a take-up", STREAMS)

    async def check_unknown(self):
        reached = sum(len(e.reached) for e in self.endpoints["stream"])
        for route in ROUTES:
            for resumes, text in (("f" * 16, "never begun"), ("x" * 3000, "a long name"), (None, "no name")):
                stream = Stream(route, f"unknown{self.last_id}", KEY)
                stream.versions = ["unknown"]
                await self.attempt(stream, 0, False, resumes=resumes)
                self.expect(stream.refused == "stream-unknown" and stream.waited_s < AT_ONCE_S,
                            f"{route}, {text}: {stream.refused} after {stream.waited_s:.3f} s")
            stream = await self.begin(route, 0)
            reached += 1
            stream.key = OTHER_KEY
            await self.attempt(stream, 0, False)
            self.expect(stream.refused == "stream-unknown", f"{route}, of another organisation: {stream.refused}")
        self.expect(sum(len(e.reached) for e in self.endpoints["stream"]) == reached, "none of them reached an endpoint")

    async def check_one_version(self):
        """Callers that don't name their streams, of a service with one version."""
        streams = [await self.begin(LONE_ROUTES[i % 2], i % 2) for i in range(STREAMS)]
        for i, stream in enumerate(streams):
            stream.begun_by = None
            await self.attempt(stream, (i + 1) % 2, False)
        self.expect_joined(streams, "without a name, one version", STREAMS)

    async def check_gone(self):
        await asyncio.sleep(LISTENS_S)
        streams = await self.begin_some()
        for endpoint in self.endpoints["stream"][:2]:
            await endpoint.leave()
        await asyncio.sleep(GONE_S)
        for i, stream in enumerate(streams):
            await self.attempt(stream, i % 2, False)
        old = [s for s in streams if s.versions[0] == "v1"]
        self.expect_joined(streams, "the older version has left", len(streams) - len(old))
        self.expect(all(s.refused == "stream-version-gone" for s in old) and max(s.waited_s for s in old) < AT_ONCE_S,
                    f"{len(old)} streams of it are refused: {sorted({s.refused for s in old})}, "
                    f"at most {max(s.waited_s for s in old):.3f} s")
        new = [await self.begin(ROUTES[i % 2], i % 2) for i in range(4)]
        self.expect(all(s.versions == ["v2"] for s in new), "new streams begin at the version that is left")

    async def check(self):
        await self.check_chains()
        await self.check_unknown()
        await self.check_one_version()
        await self.check_restarts()
        await self.check_gone()
        for event in ("event=stream_taken_up", "event=stream_searched"):
            self.expect(bool(self.fleet.names_with(event)), f"logged: {event}")


if __name__ == "__main__":
    sys.exit(leaving.play(StreamVersionsTest))
