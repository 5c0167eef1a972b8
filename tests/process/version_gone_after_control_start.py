"""Streams that are taken up before control has heard of all endpoints.

    python3 tests/process/version_gone_after_control_start.py

Real processes on loopback. All nodes are killed and start again; the endpoints of one version
announce themselves later than those of the other. Streams of both are taken up meanwhile: none
is told that its version has gone, and they go on once the late endpoints are heard.
"""

import asyncio
import sys

import leaving
from leaving import SPREAD_S
from soak_fleet import now
from stream_versions import StreamVersionsTest

HEARD_S = 3.0  # After the start of the nodes; control listens for 3.6 s before it knows which endpoints serve.
LISTENS_S = 3.6
AHEAD_S = 0.8  # Take-ups come at most so long before the late endpoints are heard.
ELECTION_S = 1.5  # Control listens once it has a leader.


class VersionGoneTest(StreamVersionsTest):
    def late(self):
        return self.endpoints["stream"][2:]

    async def restart_all(self):
        """The late endpoints don't announce themselves from now on."""
        for endpoint in self.late():
            endpoint.announces = False
        for node in self.fleet.nodes:
            node.stop_now()
        self.started_at = now()
        for node in self.fleet.nodes:
            node.start()

    async def announce_at(self, seconds):
        """Counted from the start of the nodes."""
        await asyncio.sleep(max(0, self.started_at + seconds - now()))
        for endpoint in self.late():
            endpoint.announces = True

    async def take_up_now(self, streams):
        """Together. Returns those that were answered before control can know which endpoints serve."""
        early = []

        async def take_up(index, stream):
            await self.attempt(stream, index % 2, False)
            if now() < self.started_at + LISTENS_S:
                early.append(stream)

        await asyncio.gather(*(take_up(i, s) for i, s in enumerate(streams)))
        return early

    def kinds(self, streams):
        return sorted({s.refused for s in streams if s.refused})

    async def check_late(self):
        streams = await self.begin_some()
        await self.restart_all()
        announced = asyncio.ensure_future(self.announce_at(HEARD_S))
        await self.until_served()
        await asyncio.sleep(max(0, self.started_at + HEARD_S - AHEAD_S - now()))
        await self.take_up_now(streams)
        await announced
        self.expect_joined(streams, "endpoints are heard late", len(streams))

    async def check_silent(self):
        streams = await self.begin_some()
        await self.restart_all()
        await self.until_served()
        early = await self.take_up_now(streams)
        others = [s for s in streams if s.versions[0] == "v2"]
        self.expect_joined(streams, "endpoints are silent", len(streams) - len(others))
        self.expect("stream-version-gone" not in self.kinds(early),
                    f"{len(early)} answers before control knows: none says that the version has gone: {self.kinds(early)}")
        self.expect(all(s.whole or s.retry_after for s in early), "and a refusal says when to come back")

        await self.announce_at(0)
        await asyncio.sleep(SPREAD_S)
        again = [s for s in others if not s.whole]
        await self.take_up_now(again)
        self.expect_joined(again, "endpoints are heard again", len(again))

    async def check_gone(self):
        """Once control has listened for long enough, it says that a version has gone."""
        streams = await self.begin_some()
        await self.restart_all()
        await self.until_served()
        await asyncio.sleep(LISTENS_S + ELECTION_S)
        await self.take_up_now(streams)
        old = [s for s in streams if s.versions[0] == "v2"]
        self.expect(all(s.refused == "stream-version-gone" for s in old),
                    f"{len(old)} streams whose version is not announced any more are refused: {self.kinds(old)}")

    async def check(self):
        await self.check_late()
        await self.check_silent()
        await self.check_gone()


if __name__ == "__main__":
    sys.exit(leaving.play(VersionGoneTest))
