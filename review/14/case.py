"""Claim a tenant's guarantee while urgent jobs of another one use it."""

from __future__ import annotations

import asyncio
from pathlib import Path

from site3 import BOUNDS, Record, route, run_case, Site

TENANTS = [
    {"name": "north", "api_keys": ["key-north"], "guaranteed": {"gpu": 16}},
    {"name": "south", "api_keys": ["key-south"], "guaranteed": {"gpu": 8}},
]
EXECUTORS = 4
TASKS = 8
USUAL_JOBS, BURST_JOBS = 2, 4
"""Urgent jobs of the other tenant on a usual day, and in a burst of twice as many."""

CLAIM = f"{0xC1A1:016x}"
SETTLE_TIME = 4.0
OBSERVED_TIME = 40.0
"""Seconds for which the jobs of the other tenant are left running."""

LASTING_TIME = 1e6


async def play(record: Record, trouble: bool, sites: list[Site]) -> list[str]:
    """Fill the service with urgent jobs of one tenant, then submit another one's."""
    site = Site(
        record, EXECUTORS, tenants=TENANTS, routes=[route("urgent", priority=0)]
    )
    sites.append(site)
    await site.open()
    for number in range(BURST_JOBS if trouble else USUAL_JOBS):
        path = f"/urgent/{0xA000 + number:016x}"
        await site.submit(
            path, "key-south", LASTING_TIME, tasks=TASKS, long_running=True
        )
    await asyncio.sleep(SETTLE_TIME)
    answer = await site.submit(f"/urgent/{CLAIM}", "key-north", 5.0, tasks=TASKS)
    if answer.status != 200:
        return []
    accepted = record.now
    await asyncio.sleep(OBSERVED_TIME)
    starts = [at for at, run in record.find("start") if run["task"].startswith(CLAIM)]
    limit = accepted + BOUNDS["reclaim_ms"] / 1000
    begun = sum(at <= limit for at in starts)
    state = await site.state(f"/urgent/{CLAIM}", "key-north")
    if begun >= TASKS:
        return []
    return [
        f"RECLAIM: {begun} of {TASKS} tasks have begun in time, "
        f"{len(starts)} after {OBSERVED_TIME} s; the job is {state}"
    ]


run_case(str(Path(__file__).parent), play)
