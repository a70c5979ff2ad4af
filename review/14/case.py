"""Ask for the waiting jobs of a queue while an executor refuses starts."""

from __future__ import annotations

import asyncio
from pathlib import Path

from site3 import BOUNDS, Record, route, run_case, Site

KEY = "key-north"
TENANTS = [{"name": "north", "api_keys": [KEY], "guaranteed": {"gpu": 16}}]
JOBS = [f"{0xB000 + number:016x}" for number in range(4)]
EXECUTORS = 9
TASKS = 8
SETTLE_TIME = 3.0
WAITING_AGE = BOUNDS["visible_ms"] / 1000 + 2.0
"""Seconds after its acceptance from which a job that has not begun has to count."""

MARGIN = 0.3
LASTING_TIME = 1e6


async def play(record: Record, trouble: bool, sites: list[Site]) -> list[str]:
    """Fill all executors but one, let that one refuse starts, and submit jobs."""
    site = Site(
        record, EXECUTORS, tenants=TENANTS, routes=[route("batch"), route("bulk")]
    )
    sites.append(site)
    await site.open()
    for number in range(EXECUTORS - 1):
        path = f"/bulk/{0xA000 + number:016x}"
        await site.submit(path, KEY, LASTING_TIME, tasks=TASKS, long_running=True)
    await asyncio.sleep(SETTLE_TIME)
    free = [one for one in site.executors if not one.runs]
    record.add("free", names=[one.name for one in free])
    for one in free:
        one.shed = trouble
    for job in JOBS:
        await site.submit(f"/batch/{job}", KEY, 30.0)
    await asyncio.sleep(WAITING_AGE + MARGIN)
    problems = []
    for entry in site.fronts:
        answer = await site.ask("GET", "/batch/", KEY, entry=entry)
        begun = {run["task"].partition(".")[0] for _, run in record.find("start")}
        waiting = sum(job not in begun for job in JOBS)
        if answer.status == 200 and answer.body["waiting"] < waiting / 2:
            given = answer.body["waiting"]
            problems.append(f"MIXED: {entry} gives {given} waiting jobs of {waiting}")
    return problems


run_case(str(Path(__file__).parent), play)
