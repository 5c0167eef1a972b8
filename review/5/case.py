"""All processes are killed at the same moment and start again, while a tenant
asks for more than its allowance."""

import asyncio
import bisect
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import harness
from harness import BOUNDS, KEY, TENANT, TROUBLE, CannotRun, Worker, World, read_answer

FRONTS = 12  # The site has 9 frontend machines and 3 spare ones.
RATE_PER_S = 100.0
BURST = RATE_PER_S
CLIENTS_OF_FRONT = 16
WORKERS = 9
SLOTS = 12
QUEUE = 36
DOWN_S = 0.6
STEADY_S = 1.0
AFTER_S = 9.0

ROUTE = {"name": "r-7i427ey", "host": harness.HOST, "path_prefix": "/pule252/", "kind": "safe",
         "timeout_ms": 1200.0, "target_latency_ms": 80, "priority": 2, "service": "desk", "attempts": 1,
         "retains_context": False, "public": False, "sticky_sessions": False, "resumable": False}


class Desk(Worker):
    """Works on as many requests at once as it has slots, and queues a few more."""

    def __init__(self, world, service, index):
        super().__init__(world, service, index, SLOTS, QUEUE)
        self.free = asyncio.Semaphore(SLOTS)

    async def work(self, path, fields, body, head, writer):
        async with self.free:
            await asyncio.sleep(0.004)
        writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Length: 4\r\n\r\ndone".encode())


class Allowance(World):
    def __init__(self, folder):
        super().__init__(folder, fronts=FRONTS)
        self.workers = [Desk(self, "desk", i) for i in range(WORKERS)]
        self.sent, self.arrived = {}, {}
        self.counts = {}
        self.over = False

    def on_run(self, worker, method, path, fields, body):
        self.arrived[fields["request-id"]] = time.monotonic()
        if fields.get("tenant") != TENANT:
            raise CannotRun("a request of another tenant")

    async def client(self, node):
        """Keeps one request waiting: on a channel that it keeps, or a new one after a refusal."""
        channel = None
        while not self.over:
            request = self.new_id()
            wait_s = 0.0
            try:
                if channel is None:
                    channel = await asyncio.wait_for(
                        asyncio.open_connection(node.host, self.fleet.caller_port), 1.0)
                reader, writer = channel
                writer.write((f"GET /pule252/2f HTTP/1.1\r\nHost: {harness.HOST}\r\nRequest-Id: {request}\r\n"
                              f"Deadline-Remaining: 1200\r\nX-Api-Key: {KEY}\r\n\r\n").encode())
                self.sent[request] = time.monotonic()
                answer = await asyncio.wait_for(read_answer(reader), 2.2)
                self.counts[answer.status] = self.counts.get(answer.status, 0) + 1
                if answer.status != 200:
                    # At most a third of the time that the client has left.
                    wait_s = min(float(answer.fields.get("retry-after", 0.1)), 0.4)
                if answer.status != 200 or answer.fields.get("connection", "").lower() == "close":
                    writer.close()
                    channel = None
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                if channel:
                    channel[1].close()
                channel, wait_s = None, 0.05
            if wait_s:
                await asyncio.sleep(wait_s * random.uniform(1.0, 1.2))

    def log_requests(self):
        first = self.record.start
        for request in sorted(self.arrived, key=self.arrived.get):
            self.record.file.write(f"{self.arrived[request] - first:9.3f} run {request} sent at "
                                   f"{self.sent[request] - first:.3f}\n")

    def fullest_window(self):
        """The most requests both sent and run in a window: (number, start)."""
        window = BOUNDS["quota_window_s"]
        rows = sorted((self.sent[r], self.arrived[r]) for r in self.arrived)
        starts = [s for s, _ in rows]
        best = (0, 0.0)
        for i, start in enumerate(starts):
            end = bisect.bisect_right(starts, start + window)
            best = max(best, (sum(1 for _, at in rows[i:end] if at <= start + window), start))
        return best


async def play(world):
    await world.start(world.document(
        [ROUTE], [{"name": TENANT, "api_keys": [KEY], "priority": 1, "rate_per_s": RATE_PER_S, "burst": BURST}]))
    clients = [asyncio.ensure_future(world.client(node))
               for node in world.fleet.of("frontend") for _ in range(CLIENTS_OF_FRONT)]
    await asyncio.sleep(STEADY_S)
    served_before = len(world.arrived)
    if TROUBLE:
        for node in world.fleet.nodes:
            node.signal(harness.signal.SIGKILL)
        for node in world.fleet.nodes:
            node.process.wait()
        await asyncio.sleep(DOWN_S)
        world.fleet.start()
    await asyncio.sleep(AFTER_S)
    world.over = True
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    if served_before == 0 or len(world.arrived) == served_before:
        raise CannotRun("nothing was served before or after")
    window = BOUNDS["quota_window_s"]
    most = (RATE_PER_S * window + BURST) * (1 + BOUNDS["quota_overshoot"]) + BOUNDS["quota_slack"]
    number, start = world.fullest_window()
    world.log_requests()
    world.record.write(f"answers by status: {world.counts}")
    text = (f"{number} requests were sent and run in the {window} s from {start - world.record.start:.3f} s; "
            f"the allowance of the tenant is {most:.0f}")
    world.record.write(text)
    print(text)
    return [f"QUOTA: {text}"] if number > most else []


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, Allowance, play))
