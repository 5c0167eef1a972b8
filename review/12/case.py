"""A stream of a route that keeps turns is taken up after its worker has crashed."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # With TROUBLE=0 the disruption is left out.
sys.path.insert(0, str(FOLDER.parent / "kit-3"))
try:
    from deployment import (  # noqa: E402
        CannotRun, Engine, events_of, hash_of, http, main, manifest, new_id)
except ImportError as fault:
    print(f"could not run: {fault!r}")
    sys.exit(2)

PROGRAMS = 4
BREAK_AFTER = 3  # Events of the first turn that its client gets before the crash.
ROUTE = {"name": "r-chat", "host": "chat.example", "path_prefix": "/chat/", "kind": "streaming",
         "timeout_ms": 5000, "target_latency_ms": 200, "priority": 1, "service": "engines",
         "attempts": 1, "retains_context": True, "retention_s": 60.0, "public": False,
         "sticky_sessions": True, "resumable": True, "target_gap_ms": 200}
SERVICE = {"name": "engines", "health_path": "/health", "connection_limit": 150, "protocol": "h1",
           "tls": False, "engine": {"slots": 8, "kv_cache_tokens": 90000, "tokens_per_event": 12,
                                    "models": [{"name": "m"}]}}


class CrashingEngine(Engine):
    """Crashes before an event of a request that is to be broken off."""

    to_break = set()  # Ids of requests, over all workers.
    bodies = {}  # What reached a worker, by request.

    def begin(self, request):
        super().begin(request)
        self.bodies[request.id] = request.body

    async def before_event(self, request, number):
        if request.id in self.to_break and number == BREAK_AFTER + 1:
            await asyncio.sleep(0.05)  # The events so far have left.
            self.to_break.discard(request.id)
            self.crash()
            raise ConnectionResetError


async def send(front, deployment, record, program, body, previous=None, resumes=None, last_event=0):
    request = new_id()
    headers = [("Host", "chat.example"), ("Request-Id", request), ("X-Api-Key", "key-of-tenant-a"),
               ("Deadline-Remaining", "5000"), ("Program-Id", program), ("Session-Id", program),
               ("Program-Deadline", "30000"), ("Token-Budget", "100000"), ("Token-Counts", "100,120"),
               ("Model", "m"), ("Prompt-Prefix", f"{program}:100")]
    if previous:
        headers.append(("Previous-Turn", previous))
    if resumes:
        headers += [("Resumes", resumes), ("Last-Event-Id", str(last_event))]
    record(f"client sends {request} of program {program} to {front.name}, {len(body)} bytes, "
           f"Previous-Turn {previous}, Resumes {resumes}, Last-Event-Id {last_event or None}")
    send.on_sent(request)
    answer = await http(front.host, deployment.caller_port, "POST", "/chat/turn", headers, body, 6)
    if answer is None:
        record(f"client gets no answer to {request}")
        return request, None, {}
    events = events_of(answer.body) if answer.status == 200 else {}
    record(f"client gets {answer.status} to {request}, whole: {answer.whole}, events {sorted(events)}")
    return request, answer, events


async def turn(front, deployment, record, program, body, previous, breaks):
    """One turn with its client's attempts; its id and its events, or None."""
    send.on_sent = CrashingEngine.to_break.add if breaks else lambda request: None
    request, answer, events = await send(front, deployment, record, program, body, previous)
    send.on_sent = lambda request: None
    first, last_with_events = request, request
    for _ in range(10):
        if answer and answer.status == 200 and answer.whole:
            return request, events
        await asyncio.sleep(0.3)
        # A stream that was broken off is taken up after its last event; a turn of
        # which nothing has come is sent again from its start.
        request, answer, more = await send(front, deployment, record, program, body, previous,
                                           last_with_events if events else None, max(events, default=0))
        events.update(more)
    return first, None


async def case(deploy, record, trouble):
    deployment = deploy()
    await deployment.start(manifest([ROUTE], [SERVICE]))
    workers = [CrashingEngine(deployment, "engines", i) for i in range(7)]
    for worker in workers:
        await worker.start()
    await deployment.until_usable(workers)
    fronts = deployment.of("frontend")
    breaks = []
    finished = 0
    for number in range(PROGRAMS):
        program = new_id()[:14]
        first_body = f"input one of {program}. ".encode()
        second_body = f"input two of {program}. ".encode()
        first, events = await turn(fronts[number % 2], deployment, record, program, first_body, None, trouble)
        if events is None:
            record(f"the first turn of {program} was never answered whole")
            continue
        await asyncio.sleep(0.2)
        second, answer = await turn(fronts[(number + 1) % 2], deployment, record, program, second_body, first, False)
        if answer is None:
            record(f"the second turn of {program} was never answered whole")
            continue
        finished += 1
        output = "".join(events[k] + "\n" for k in sorted(events)).encode()
        expected = first_body + output + second_body
        found = CrashingEngine.bodies[second]
        record(f"the client has events {sorted(events)} of turn {first}; a worker ran {second} with "
               f"{len(found)} bytes ({hash_of(found)}), due are {len(expected)} ({hash_of(expected)})")
        if found != expected:
            record(f"  ran: {found!r}")
            record(f"  due: {expected!r}")
            breaks.append(f"UNASKED: a worker ran turn {second} with a body that isn't the chain of {first}")
        await asyncio.sleep(3.5 if trouble else 0.2)  # The crashed worker is back.
    if finished < PROGRAMS and not trouble:
        record("no program finished")
        raise CannotRun("see the record")
    return breaks


main(case, FOLDER, TROUBLE)
