"""Callers that send more than their connection takes, and read their answer slowly.

    python3 tests/process/unread_bytes_reset_answer.py

Real processes on loopback. An instance ends a connection while bytes of its caller lie
unread. A kernel that resets it then discards what the caller hasn't read yet, so every
answer that was written has to arrive whole all the same. A caller that never ends its
side does not keep the connection, nor a planned stop.
"""

import asyncio
import signal
import socket
import sys

import leaving
from soak_fleet import CALLER_PORT, now

ANSWER_BYTES = 400_000
RECEIVE_BUFFER_BYTES = 4096
PIECE_BYTES = 32768  # Read at once, with a pause after each.
PIECE_PAUSE_S = 0.01
EACH = 20  # Connections of each kind.
BODY_LIMIT_BYTES = 65536
WHOLE_S = 5.0
LATER_S = 0.05  # Until more bytes are sent.
CLOSED_AFTER_S = 2.0  # At the latest, however long the caller keeps its side open.
STOPPED_AFTER_S = 7.0
FIELDS = {"length": f"Content-Length: {ANSWER_BYTES}\r\n", "until_close": "Connection: close\r\n"}


class BigEndpoint(leaving.Endpoint):
    """Answers with a length, or ends its answer with the connection, as the path says."""

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                fields = {k.lower(): v for k, v in (x.split(": ", 1) for x in head[1:] if ": " in x)}
                await reader.readexactly(int(fields.get("content-length", 0)))
                framing = head[0].split()[1].rsplit("/", 1)[1]
                writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {fields['request-id']}\r\nServer-Signature: s\r\n"
                              f"{FIELDS[framing]}\r\n").encode() + b"x" * ANSWER_BYTES)
                await writer.drain()
                if framing == "until_close":
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The instance left, or the test is over.
        finally:
            writer.close()


class UnreadTest(leaving.Test):
    def __init__(self, data):
        super().__init__(data)
        self.endpoints = {"whole": [BigEndpoint(self.fleet, "whole", i) for i in range(2)]}

    async def configure(self, version=1, limits=None):
        await super().configure(version, limits or {"body_bytes": BODY_LIMIT_BYTES})

    def request(self, framing, fields="", body=b"in"):
        self.last_id += 1
        return (f"POST /whole/{framing} HTTP/1.1\r\nHost: {leaving.HOST}\r\nContent-Length: {len(body)}\r\n"
                f"Request-Id: {self.last_id:016x}\r\nX-Api-Key: {leaving.KEY}\r\n{fields}"
                "Deadline-Remaining: 3000\r\n\r\n").encode() + body

    async def connect(self, receive_buffer=RECEIVE_BUFFER_BYTES):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (self.fleet.of("entry")[0].host, CALLER_PORT))
        return connection

    async def receive(self, connection):
        """What arrives until the connection ends, and how it ends."""
        loop, received = asyncio.get_running_loop(), b""
        try:
            while piece := await asyncio.wait_for(loop.sock_recv(connection, PIECE_BYTES), WHOLE_S):
                received += piece
                await asyncio.sleep(PIECE_PAUSE_S)
        except ConnectionResetError:
            return received, "reset"
        except asyncio.TimeoutError:
            return received, "not at all"
        return received, "closed"

    async def send_more(self, first, later):
        """Whether the answer to \\p first is whole if \\p later follows it."""
        loop, connection = asyncio.get_running_loop(), await self.connect()
        await loop.sock_sendall(connection, first)
        await asyncio.sleep(LATER_S)
        await loop.sock_sendall(connection, later)
        received, _ = await self.receive(connection)
        connection.close()
        head, _, body = received.partition(b"\r\n\r\n")
        return head.startswith(b"HTTP/1.1 200") and len(body) == ANSWER_BYTES

    async def check_more(self, framing, fields, text):
        whole = await asyncio.gather(*(self.send_more(self.request(framing, fields), self.request(framing, fields))
                                       for _ in range(EACH)))
        self.expect(all(whole), f"{text}: {sum(whole)} of {EACH} answers are whole")

    async def refuse_body(self):
        loop, connection = asyncio.get_running_loop(), await self.connect()
        try:
            await loop.sock_sendall(connection, self.request("length", body=b"x" * 8 * BODY_LIMIT_BYTES))
        except OSError:
            return False
        received, end = await self.receive(connection)
        connection.close()
        return received.startswith(b"HTTP/1.1 413") and end == "closed"

    async def check_refused_body(self):
        whole = await asyncio.gather(*(self.refuse_body() for _ in range(EACH)))
        self.expect(all(whole), f"a body over the limit: {sum(whole)} of {EACH} callers could send it and got 413")

    async def never_end(self):
        """Bytes that arrived until the instance ended its side, how it did, and how long it took bytes after that."""
        loop, connection = asyncio.get_running_loop(), await self.connect(8 * ANSWER_BYTES)
        await loop.sock_sendall(connection, self.request("length", "Connection: close\r\n"))
        received, end = await self.receive(connection)
        start = now()
        try:
            while now() < start + 2 * CLOSED_AFTER_S:
                await loop.sock_sendall(connection, b"x")
                await asyncio.sleep(LATER_S)
        except OSError:
            pass
        connection.close()
        return len(received), end, now() - start

    async def check_bounded(self):
        seen = await asyncio.gather(*(self.never_end() for _ in range(EACH)))
        whole = [size > ANSWER_BYTES and end == "closed" for size, end, _ in seen]
        took_s = max(took_s for _, _, took_s in seen)
        self.expect(all(whole), f"callers that go on sending: {sum(whole)} of {EACH} answers are whole, "
                    f"{sorted({(size, end) for size, end, _ in seen})}")
        self.expect(took_s < CLOSED_AFTER_S, f"callers that go on sending: closed after {took_s:.2f} s")

    async def check_stop(self):
        node, start = self.fleet.of("entry")[0], now()
        node.signal(signal.SIGTERM)
        endless = [asyncio.ensure_future(self.never_end())]
        while now() < start + STOPPED_AFTER_S and node.process.poll() is None:
            await asyncio.sleep(LATER_S)
            if not endless[-1].done() or now() > start + leaving.START_S:
                continue
            endless.append(asyncio.ensure_future(self.never_end()))
        self.expect(node.process.poll() == 0, f"planned stop: ended by itself after {now() - start:.2f} s")
        await asyncio.gather(*endless, return_exceptions=True)

    async def check(self):
        await self.check_more("length", "Connection: close\r\n", "a request after one that ends the connection")
        await self.check_more("until_close", "", "a request after one whose answer ends the connection")
        await self.check_refused_body()
        await self.check_bounded()
        await self.check_stop()


if __name__ == "__main__":
    sys.exit(leaving.play(UnreadTest))
