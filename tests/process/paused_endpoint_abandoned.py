"""Endpoints that pause and accept no connection meanwhile, through the whole path.

    python3 tests/process/paused_endpoint_abandoned.py

Real processes on loopback. While an endpoint pauses, its queue of new connections is full. Its
answers still reach their callers whole, and no request counts as one that ends endpoints. An
endpoint that doesn't go on, or whose data centre is silent as a whole, is abandoned.
"""

import asyncio
import socket
import sys

import leaving
import silent_endpoint
from silent_endpoint import FIRST, REST, chunk
from soak_fleet import ENDPOINT_PORT

PAUSE_S = 1.6  # A sound endpoint may pause for "a second or so".
GIVEN_UP_S = 2.9  # Two seconds of silence, the next check, two attempts to connect.
QUEUE_FILLERS = 4  # More connections than the endpoint's queue takes.
RESTARTS = 4  # More than the crashes after which a request is held.
HEARD_S = 1.0  # In which the instances hear of a new start, and no longer avoid the endpoint.


class Engine(silent_endpoint.Engine):
    async def start(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.host, ENDPOINT_PORT))
        self.socket.listen(0)
        self.socket.setblocking(False)
        self.fillers = []
        self.resume()
        asyncio.ensure_future(self._announce())

    def stop(self):
        self.over = True
        self.acceptor.cancel()
        self.socket.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _accept(self):
        while True:
            accepted, _ = await asyncio.get_running_loop().sock_accept(self.socket)
            reader, writer = await asyncio.open_connection(sock=accepted)
            self.writers.append(writer)
            asyncio.ensure_future(self._serve(reader, writer))

    def pause(self):
        """Accepts nothing; further connection attempts have no answer."""
        self.acceptor.cancel()
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, ENDPOINT_PORT))
            self.fillers.append(filler)

    def resume(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        if not self.over:
            self.acceptor = asyncio.ensure_future(self._accept())

    def resume_later(self):
        asyncio.get_running_loop().call_later(PAUSE_S, self.resume)

    async def pause_before_answer(self, start, writer):
        self.pause()
        await asyncio.sleep(PAUSE_S)
        self.resume()
        await self._send(writer, (start + "\r\n").encode() + chunk(FIRST) + chunk(REST) + b"0\r\n\r\n")

    async def pause_in_stream(self, start, writer):
        await self._send(writer, (start + "\r\n").encode() + chunk(FIRST))
        self.pause()
        await asyncio.sleep(PAUSE_S)
        self.resume()
        await self._send(writer, chunk(REST) + b"0\r\n\r\n")

    async def pause_after_unframed(self, start, writer):
        head = start.replace("Transfer-Encoding: chunked\r\n", "")
        await self._send(writer, (head + "\r\n").encode() + FIRST + REST)
        self.pause()
        self.resume_later()

    async def silent_for_good(self, start, writer):
        await self._send(writer, (start + "\r\n").encode() + chunk(FIRST))
        self.pause()
        await asyncio.sleep(2 * GIVEN_UP_S)

    async def silent_data_centre(self, start, writer):
        await self._send(writer, (start + "\r\n").encode() + chunk(FIRST))
        for node in self.fleet.nodes:
            if node.proxy and node.zone == "zone-0":  # As the endpoint announces.
                node.proxy.set_mode("silent")
        self.pause()
        await asyncio.sleep(2 * GIVEN_UP_S)

    async def reset_and_pause(self, start, writer):
        self.pause()
        self.resume_later()
        writer.transport.abort()

    async def plain(self, start, writer):
        await self._send(writer, (start + "\r\n").encode() + chunk(FIRST) + chunk(REST) + b"0\r\n\r\n")


class PausedEndpointTest(silent_endpoint.SilentEndpointTest):
    ENGINE = Engine

    async def check_silent(self, manner):
        _, answer, took = await self.stream(manner)
        self.expect(took < GIVEN_UP_S, f"{manner}: given up after {took:.2f} s")
        self.expect(bool(answer) and answer[0] == 200 and not answer[3], f"{manner}: begun, and doesn't look complete")

    async def check_silent_data_centre(self):
        await self.check_silent("silent_data_centre")
        await asyncio.sleep(HEARD_S)
        log = (self.fleet.data / "entry-0.log").read_text()
        self.expect("data_centre_silent=yes abandoned=yes" in log, "the instance knows that the data centre is silent")

    async def check_no_crash(self):
        """Connections that end with a pause after them aren't crashes."""
        engine, _, _ = await self.stream("reset_and_pause")
        for _ in range(RESTARTS - 1):
            await asyncio.sleep(PAUSE_S + HEARD_S)
            engine.born, engine.sequence = engine.born + 1, 0
            await asyncio.sleep(HEARD_S)
            await self.call("stream", 0)
        await asyncio.sleep(PAUSE_S + HEARD_S)
        engine.manner = "plain"
        answer = await self.call("stream", 0)
        self.expect(len(engine.reached) > RESTARTS and bool(answer) and answer[0] == 200,
                    f"a request whose connections were reset {RESTARTS} times: {answer and (answer[0], answer[2])}")

    async def check(self):
        for check in (self.check_pause("pause_before_answer"), self.check_pause("pause_in_stream"),
                      self.check_pause("pause_after_unframed"), self.check_silent("silent_for_good"),
                      self.check_no_crash(), self.check_silent_data_centre()):
            await check
            for engine in self.all_endpoints():
                engine.stop()


if __name__ == "__main__":
    sys.exit(leaving.play(PausedEndpointTest))
