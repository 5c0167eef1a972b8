"""Workers end while they work on an order whose long body is still arriving."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # With TROUBLE=0 the disruption is left out.
sys.path.insert(0, str(FOLDER.parent / "kit-3"))
try:
    from deployment import (  # noqa: E402
        CannotRun, Worker, http, main, manifest, new_id)
except ImportError as fault:
    print(f"could not run: {fault!r}")
    sys.exit(2)

ORDERS = 6
BODY_BYTES = 2_000_000  # The manifest allows 4194304.
READ_FIRST = 65_536
ROUTE = {"name": "r-order", "host": "desk.example", "path_prefix": "/order/", "kind": "unsafe",
         "timeout_ms": 5000, "target_latency_ms": 500, "priority": 1, "service": "desk",
         "attempts": 1, "retains_context": False, "public": False, "sticky_sessions": False,
         "resumable": False}
SERVICE = {"name": "desk", "health_path": "/health", "connection_limit": 100, "protocol": "h1", "tls": False}


class DeskWorker(Worker):
    """Begins to work on an order with the first part of its body."""

    to_end = set()  # Orders at whose first run the worker crashes.
    begun = {}  # Workers that began to work, by order.

    async def serve(self, request, reader, writer):
        if await self.refuses(request, reader, writer):
            return
        length = int(request.fields.get("content-length", 0))
        request.body = await reader.readexactly(min(READ_FIRST, length))
        self.begin(request)
        self.begun.setdefault(request.id, []).append(self.id)
        if request.id in self.to_end:
            self.to_end.discard(request.id)
            await asyncio.sleep(0.1)
            self.crash()
            raise ConnectionResetError
        request.body += await reader.readexactly(length - len(request.body))
        await asyncio.sleep(0.05)
        self.answer(writer, request, 200, f"ordered {len(request.body)} bytes".encode())


async def case(deploy, record, trouble):
    deployment = deploy()
    await deployment.start(manifest([ROUTE], [SERVICE]))
    workers = [DeskWorker(deployment, "desk", i) for i in range(7)]
    for worker in workers:
        await worker.start()
    await deployment.until_usable(workers)
    answers = {}
    fronts = deployment.of("frontend")
    for number in range(ORDERS):
        request = new_id()
        if trouble:
            DeskWorker.to_end.add(request)
        front = fronts[number % len(fronts)]
        record(f"client sends order {request} to {front.name}, {BODY_BYTES} bytes")
        answer = await http(front.host, deployment.caller_port, "POST", "/order/new",
                            [("Host", "desk.example"), ("Request-Id", request), ("X-Api-Key", "key-of-tenant-a"),
                             ("Deadline-Remaining", "5000")], bytes(BODY_BYTES), 6)
        answers[request] = answer.status if answer else None
        record(f"client gets {answers[request]} to {request}, ran at {DeskWorker.begun.get(request, [])}")
        await asyncio.sleep(3.5 if trouble else 0.2)  # The crashed worker is back.
    breaks = []
    for request, status in answers.items():
        runs = DeskWorker.begun.get(request, [])
        if len(runs) > 1:
            breaks.append(f"TWICE: order {request} ran at {' and '.join(runs)}")
        if runs and status in (408, 421, 429, 503):
            breaks.append(f"REFUSED: order {request} got {status} and has run at {' and '.join(runs)}")
    if not trouble and set(answers.values()) != {200}:
        record(f"not all orders were answered: {answers}")
        raise CannotRun("see the record")
    return breaks


main(case, FOLDER, TROUBLE)
