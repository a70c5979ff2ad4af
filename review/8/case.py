"""Cancel a job whose submission got no answer and takes effect late."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2.deployment import Deployment  # noqa: E402
from standins_2.executor import Step  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

JOB = "00000000000ca11e"
TASK_TIME = 8.0

LATE_WRITES = (5.9, 5.9)
"""Seconds by which the two writes of the submission are done late (1 to 6 s)."""

CANCEL_LIMIT = 3.0
"""Seconds (cancel_ms of the settings) after which no task of a cancelled job starts."""

STOP_LIMIT = 0.9
"""Seconds (stop_grace_ms) after these for which a task may still run."""

WATCH_TIME = 12.0


async def cancel(deployment: Deployment) -> float | None:
    """Cancel the job at the other entry; return when that was acknowledged."""
    for _ in range(5):
        answer = await deployment.client("DELETE", "edge-a1-2", JOB)
        if answer.status in (200, 204, 410):
            return deployment.events[-1]["at"]
        await asyncio.sleep(0.3)
    return None


async def play(deployment: Deployment) -> int:
    """Return 1 if the cancelled job starts or runs too late, 0 if not, else 2."""
    if TROUBLE:
        deployment.store.late_writes["job"] = list(LATE_WRITES)
        deployment.record("answers of the store are lost")
    body = {"count": 1, "cpu": 3700, "mem_mb": 15000, "estimate_ms": 8000}
    status = await deployment.submit(
        "edge-a1-1", JOB, [Step(seconds=TASK_TIME, cpu=3700)], [body]
    )
    if (status in (0, 502, 504)) != TROUBLE:
        return 2
    deployment.store.late_writes.clear()
    acknowledged = await cancel(deployment)
    if acknowledged is None:
        return 2
    begun = time.monotonic()
    ran_until = 0.0
    while time.monotonic() - begun < WATCH_TIME:
        if deployment.runs_of(JOB):
            ran_until = round(time.monotonic() - begun, 2)
        await asyncio.sleep(0.05)
    await deployment.state("edge-a1-2", JOB)
    late = [
        round(event["at"] - acknowledged, 2)
        for event in deployment.events
        if event["event"] == "run started" and event["at"] - acknowledged > CANCEL_LIMIT
    ]
    broken = bool(late) or ran_until > CANCEL_LIMIT + STOP_LIMIT
    deployment.record(
        "result",
        submission=status,
        started_after_the_cancelling_s=late,
        ran_until_s=ran_until,
        broken=broken,
    )
    return 1 if broken else 0


async def main() -> int:
    """Run the case and write its record."""
    deployment = Deployment(entries=2, executors=7)
    try:
        async with deployment:
            return await play(deployment)
    except (OSError, TimeoutError) as error:
        deployment.record("could not run", error=repr(error))
        return 2
    finally:
        deployment.write_record(FOLDER / "record.txt")


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
