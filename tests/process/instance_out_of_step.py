"""Streams that are taken up at an entry instance that hasn't heard of a new software version.

    python3 tests/process/instance_out_of_step.py

Real processes on loopback. One instance is cut off from control, or stands still, while endpoints of
a second version join, or endpoints start again with another version. Streams begin at the other
instance, break off and are taken up at this one, with and without a name. None may be joined
from two versions, and none is told that its version has gone while endpoints of it serve.
"""

import asyncio
import signal
import sys

import leaving
from leaving import KEY
from soak_fleet import Proxy
from stream_versions import EVENTS, ROUTES, Stream, StreamVersionsTest, VersionedEndpoint

BEHIND = 1  # The instance that is out of step.
STREAMS = 12  # Of each part.
HEARD_S = 1.0  # In which instances in step hear of endpoints.
CUT_S = 2.5  # Until the links of the instance that is cut off have closed.
HEALED_S = 2.0  # Until they are open again.


class CutProxy(Proxy):
    """Can cut off single nodes: connections over which they said who they are stand still."""

    def __init__(self, announced, real):
        super().__init__(announced, real)
        self.cut_off = set()

    async def _copy(self, reader, writer, inward):
        said = b""
        try:
            while data := await reader.read(65536):
                if inward:
                    said = said or data
                while any(name.encode() in said for name in self.cut_off):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # One side closed, or the test is over.
        finally:
            writer.transport.abort()


class OutOfStepTest(StreamVersionsTest):
    attempts = 3  # Two may go to endpoints that have started again.

    def __init__(self, data):
        super().__init__(data)
        for node in self.fleet.of("control"):
            node.proxy = CutProxy(node.host, node.real)
        older = [VersionedEndpoint(self.fleet, i, "v1") for i in range(2)]
        self.newer = [VersionedEndpoint(self.fleet, i, "v2") for i in range(2, 4)]
        self.endpoints["stream"] = older

    def name_behind(self):
        return self.fleet.of("entry")[BEHIND].name

    async def cut_off(self):
        for node in self.fleet.of("control"):
            node.proxy.cut_off.add(self.name_behind())
        await asyncio.sleep(CUT_S)

    async def heal(self):
        for node in self.fleet.of("control"):
            node.proxy.cut_off.clear()
        await asyncio.sleep(HEALED_S)

    async def begin_streams(self):
        """Streams of both versions that have broken off at the instance in step."""
        streams = []
        while len({s.versions[0] for s in streams if s.versions}) < 2 or len(streams) < STREAMS:
            streams.append(await self.begin(ROUTES[len(streams) % 2], 0))
        return [s for s in streams if s.versions]

    async def take_up_here(self, streams, named):
        """At the instance that is out of step."""
        for stream in streams:
            if not named:
                stream.begun_by = None
            await self.attempt(stream, BEHIND, False)

    def expect_not_joined(self, streams, text):
        mixed = sum(len(set(s.versions)) > 1 for s in streams)
        whole = sum(s.whole and s.last_event() == EVENTS for s in streams)
        refused = sorted({s.refused for s in streams if s.refused})
        self.expect(not mixed, f"{text}: {mixed} of {len(streams)} hold events of two versions, {whole} went on, "
                    f"refused: {refused}")
        self.expect("stream-version-gone" not in refused, f"{text}: none is told that its version has gone")

    async def check_cut_off(self):
        await self.cut_off()
        for endpoint in self.newer:
            await endpoint.start()
        self.endpoints["stream"] = self.endpoints["stream"] + self.newer
        await asyncio.sleep(HEARD_S)
        streams = await self.begin_streams()
        await self.take_up_here(streams, named=False)
        self.expect_not_joined(streams, "cut off, without a name")
        streams = await self.begin_streams()
        await self.take_up_here(streams, named=True)
        self.expect_not_joined(streams, "cut off, with a name")
        self.expect(all(s.whole or s.retry_after for s in streams), "cut off: a refusal says when to come back")
        await self.heal()
        streams = await self.begin_streams()
        await self.take_up_here(streams, named=True)
        self.expect_joined(streams, "in step again", len(streams))

    async def check_restarted_endpoints(self):
        """Of each version one endpoint starts again with a third version, under the id that it had."""
        await self.cut_off()
        restarted = self.endpoints["stream"][1:3]
        await self.start_again(restarted, "v3")
        streams = []
        for i in range(STREAMS):
            stream = Stream(ROUTES[i % 2], f"restarted{self.last_id}", KEY)
            await self.attempt(stream, BEHIND, True)
            streams.append(stream)
        begun = [s for s in streams if s.versions]
        refused = sorted({s.refused for s in streams if s.refused})
        self.expect(len(begun) == STREAMS,
                    f"endpoints started again: {len(begun)} of {STREAMS} streams begin, refused: {refused}")
        self.expect(all(s.versions or s.retry_after for s in streams), "and a refusal says when to come back")
        await self.start_again(restarted, "v1")
        ended = [s for s in begun if s.versions[0] == "v3"]
        for stream in begun:
            await self.attempt(stream, 0, False)
        self.expect_not_joined([s for s in begun if s not in ended], "begun while endpoints had started again")
        self.expect(all(s.last_event() == 1 for s in ended), f"{len(ended)} streams of the version that has ended don't go on")
        await self.heal()

    async def check_restarted_second_endpoint(self):
        """Streams go on to an endpoint that has started again after another one has failed them."""
        await self.start_again(self.endpoints["stream"], "v6")
        await self.cut_off()
        # The endpoint to which a connection is open is tried first.
        for endpoint in self.endpoints["stream"]:
            endpoint.close_connections()
        before = {endpoint.id: len(endpoint.reached) for endpoint in self.endpoints["stream"]}
        await self.attempt(Stream("bare", "connects", KEY), BEHIND, False)
        failing = next((e for e in self.endpoints["stream"] if len(e.reached) > before[e.id]), self.endpoints["stream"][0])
        restarted = [e for e in self.endpoints["stream"] if e is not failing]
        await self.start_again(restarted, "v7")
        failing.fails = True
        streams = [Stream("bare", f"second{i}", KEY) for i in range(STREAMS)]
        for stream in streams:
            await self.attempt(stream, BEHIND, True)
        failing.fails = False
        begun = [s for s in streams if s.versions]
        refused = sorted({s.refused for s in streams if s.refused})
        both = set(failing.reached) & {r for e in restarted for r in e.reached}
        self.expect(both, f"a first endpoint fails {failing.failed} streams, {len(both)} go on to one that has started again, "
                    f"{len(begun)} begin, refused: {refused}")
        for stream in begun:
            await self.attempt(stream, 0, False)
        self.expect_not_joined(begun, "begun at a second endpoint that had started again")
        await self.heal()

    async def start_again(self, endpoints, software):
        for endpoint in endpoints:
            endpoint.software = software
            endpoint.born, endpoint.sequence = endpoint.born + 1, 0
        await asyncio.sleep(HEARD_S)

    async def check_standing_still(self):
        """The instance has missed a whole release when the first caller comes."""
        node = self.fleet.of("entry")[BEHIND]
        await self.start_again(self.endpoints["stream"], "v4")
        await asyncio.sleep(CUT_S)
        node.signal(signal.SIGSTOP)
        await self.start_again(self.endpoints["stream"][:2], "v5")
        streams = await self.begin_streams()
        for stream in streams[::2]:
            stream.begun_by = None
        waiting = [asyncio.ensure_future(self.attempt(s, BEHIND, False)) for s in streams]
        await asyncio.sleep(0.1)
        node.signal(signal.SIGCONT)
        await asyncio.gather(*waiting)
        self.expect_not_joined(streams, "the instance stood still")

    async def check(self):
        await self.check_cut_off()
        await self.check_restarted_endpoints()
        await self.check_restarted_second_endpoint()
        await self.check_standing_still()


if __name__ == "__main__":
    sys.exit(leaving.play(OutOfStepTest))
