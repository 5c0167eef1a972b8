"""A route that keeps turns for a shorter time is added while a turn is kept."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # With TROUBLE=0 the disruption is left out.
sys.path.insert(0, str(FOLDER.parent / "kit-3"))
try:
    from deployment import (  # noqa: E402
        CannotRun, Engine, events_of, http, main, manifest, new_id)
except ImportError as fault:
    print(f"could not run: {fault!r}")
    sys.exit(2)

CONTINUING = 24  # Programs that continue from the kept turn, spread over the groups.
AGE_S = 40.0  # Of the kept turn when it is continued from for the second time.
ROUTE = {"name": "r-long", "host": "chat.example", "path_prefix": "/long/", "kind": "streaming",
         "timeout_ms": 3000, "target_latency_ms": 200, "priority": 1, "service": "engines",
         "attempts": 1, "retains_context": True, "retention_s": 60.0, "public": False,
         "sticky_sessions": True, "resumable": False, "target_gap_ms": 200}
ADDED = dict(ROUTE, name="r-short", path_prefix="/short/", retention_s=2.0)
SERVICE = {"name": "engines", "health_path": "/health", "connection_limit": 150, "protocol": "h1",
           "tls": False, "engine": {"slots": 8, "kv_cache_tokens": 90000, "tokens_per_event": 12,
                                    "models": [{"name": "m"}]}}


async def turn(deployment, record, path, body, previous=None):
    """One turn of a new program, with its client's attempts; its id and the last status."""
    program, status = new_id()[:14], None
    for attempt in range(4):
        request = new_id()
        front = deployment.of("frontend")[attempt % 2]
        headers = [("Host", "chat.example"), ("Request-Id", request), ("X-Api-Key", "key-of-tenant-a"),
                   ("Deadline-Remaining", "3000"), ("Program-Id", program), ("Session-Id", program),
                   ("Program-Deadline", "30000"), ("Token-Budget", "100000"), ("Token-Counts", "100,120"),
                   ("Model", "m"), ("Prompt-Prefix", f"{program}:100")]
        if previous:
            headers.append(("Previous-Turn", previous))
        record(f"client sends {request} of program {program} on {path} to {front.name}, Previous-Turn {previous}")
        answer = await http(front.host, deployment.caller_port, "POST", path, headers, body, 4)
        status = answer.status if answer else None
        record(f"client gets {status} to {request}, whole: {bool(answer) and answer.whole}")
        if status == 404 or (status == 200 and answer.whole and len(events_of(answer.body)) == Engine.events):
            return request, status
        await asyncio.sleep(0.3)
    return request, status


async def case(deploy, record, trouble):
    deployment = deploy()
    tenants = [{"name": "tenant-a", "api_keys": ["key-of-tenant-a"], "priority": 1, "rate_per_s": 0, "burst": 0}]
    await deployment.start(manifest([ROUTE], [SERVICE], tenants=tenants))
    workers = [Engine(deployment, "engines", i) for i in range(7)]
    for worker in workers:
        await worker.start()
    await deployment.until_usable(workers)
    kept, status = await turn(deployment, record, "/long/turn", b"input of the first program. ")
    if status != 200:
        raise CannotRun("the first turn isn't answered")
    ended = asyncio.get_running_loop().time()
    if trouble:
        await deployment.submit(manifest([ROUTE, ADDED], [SERVICE], version=2, tenants=tenants))
        await asyncio.sleep(2)
    for number in range(CONTINUING):
        await turn(deployment, record, "/short/turn" if trouble else "/long/turn",
                   f"input of sub-agent {number}. ".encode(), kept)
    await asyncio.sleep(max(0, ended + AGE_S - asyncio.get_running_loop().time()))
    breaks, served = [], 0
    for number in range(CONTINUING):
        request, status = await turn(deployment, record, "/long/turn", f"input of a later {number}. ".encode(), kept)
        age = asyncio.get_running_loop().time() - ended
        served += status == 200
        if status == 404:
            breaks.append(f"LOST: {request} is answered 404; {kept} was answered whole {age:.1f} s ago, "
                          f"on a route that keeps turns for {ROUTE['retention_s']} s")
    if not trouble and not breaks and served < CONTINUING:
        raise CannotRun(f"{served} of {CONTINUING} later turns were served")
    return breaks


main(case, FOLDER, TROUBLE)
