"""Sub-agents go on from the turns of two long programs, several at a time."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-2"))

from small_fleet import (BROKEN, HELD, TROUBLE, ZONES, CannotRun, Engine, Fleet, Platform, http,  # noqa: E402
                         manifest, route, run_case, turn_headers)

TURN_BYTES = 4_000_000 if TROUBLE else 4_000  # body_bytes is 4,194,304.
TURNS = 4
PROGRAMS = ("program-1", "program-2")
SUB_AGENTS = 6  # Of each program, at a time: 12 of the 36 slots.
ROUNDS, PAUSE_S = 8, 1.0
ENDS, MACHINES = 3, 2  # Of rule Fault: three times, on a tenth of the machines in use, two at least.


async def ask(record, node, name, headers, body):
    """A turn; one that fails is sent again, at most twice. Its id, or None."""
    for attempt in range(3):
        headers = dict(headers)
        answer = await http(node.host, 8368, "POST", "/chat/1", headers, body)
        record.write(f"{name}, try {attempt + 1}, {len(body)} B: {answer}")
        if answer.status == 200 and answer.whole:
            return headers["Request-Id"]
        await asyncio.sleep(0.3)
        headers["Request-Id"] = turn_headers("")["Request-Id"]
    return None


async def case(record, fleets):
    fleet = Fleet(record)
    fleets.append(fleet)
    fleet.start()
    platform = Platform(fleet)
    workers = [Engine(fleet, "llm", zone) for zone in ZONES]
    for worker in workers:
        await worker.start()
    await fleet.operate(manifest([route("chat", "streaming", "llm", retains_context=True, sticky_sessions=True,
                                        target_gap_ms=200)], {"llm": True}))
    await fleet.until_ready()
    await asyncio.sleep(2)
    fronts = fleet.of("frontend")
    last = {}
    for number, program in enumerate(PROGRAMS):
        for turn in range(TURNS):
            last[program] = await ask(record, fronts[number], f"{program} turn {turn + 1}",
                                      turn_headers(program, last.get(program), budget=9216), b"a" * TURN_BYTES)
            if not last[program]:
                raise CannotRun("a turn of the long programs was not served")
    if platform.ends:
        raise CannotRun("processes ended before the sub-agents began")

    served = asked = 0
    for number in range(ROUNDS):
        calls = []
        for program in PROGRAMS:
            for agent in range(SUB_AGENTS):
                headers = turn_headers(program, last[program], budget=9216)
                headers["Session-Id"] = f"{program}-{number}-{agent}"
                calls.append(ask(record, fronts[agent % len(fronts)], f"{program} sub-agent {number + 1}.{agent + 1}",
                                 headers, b"look that up"))
        answers = await asyncio.gather(*calls)
        asked += len(answers)
        served += sum(answer is not None for answer in answers)
        await asyncio.sleep(PAUSE_S)
    platform.task.cancel()
    for worker in workers:
        await worker.stop()
    record.write(f"{served} of {asked} sub-agents were served")
    record.write(f"most memory, MB: { {k: round(v) for k, v in platform.most_mb.items()} }")
    record.write(f"processes that ended by themselves: { {k: len(v) for k, v in platform.ends.items()} }")
    often = [name for name, ends in platform.ends.items() if len(ends) >= ENDS]
    return BROKEN if len(often) >= MACHINES else HELD


run_case(HERE, case)
