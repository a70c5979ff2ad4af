"""Show that one large job ends the scheduling of all other jobs."""

from __future__ import annotations

import sys
import time

from deployment import BROKEN, Deployment, disturbed, HELD, job, run_case, UNABLE
from record import Record

EXECUTORS = 6
WIDTH = 180
STEPS = 3
"""Largest values of fault-triage in the site file: width 180, steps 3.2."""

TASK_SECONDS = 0.5
SMALL_SECONDS = 0.5
WATCH_SECONDS = 75.0
IDLE_LIMIT = 20.0
"""Seconds without a run, with most of the capacity free; the rule allows 3."""

LARGE = "f" * 16


def large_job() -> dict[str, object]:
    """Return a job of three steps of 180 tasks, one after the other."""
    steps = [
        {"count": WIDTH, **({"after": [n - 1]} if n else {})} for n in range(STEPS)
    ]
    return job(TASK_SECONDS, steps)


def case(record: Record) -> int:
    """Submit small jobs all the time, and one large job among them."""
    with Deployment(record, entries=3, executors=EXECUTORS) as system:
        names = list(system.fronts)
        accepted: dict[str, float] = {}
        begin = record.now()
        number = 0
        calm_since = begin
        while record.now() - begin < WATCH_SECONDS:
            number += 1
            name = f"{number:016x}"
            entry = names[number % len(names)]
            if number == 3 and disturbed():
                answer = system.request(entry, "POST", LARGE, large_job())
                if answer.status != 200:
                    return UNABLE
            answer = system.request(entry, "POST", name, job(SMALL_SECONDS))
            if answer.status == 200:
                accepted[name] = record.now()
            if system.capacity_free() < 0.5:
                calm_since = record.now()
            idle = _longest_idle(system, accepted, calm_since)
            if idle > IDLE_LIMIT:
                record.write("idle", seconds=f"{idle:.1f}", owner=system.owner())
                break
            time.sleep(1.0)
        for name in [*accepted, *([LARGE] if disturbed() else [])]:
            system.request(names[0], "GET", name)
        stuck = [
            name
            for name, since in accepted.items()
            if record.now() - max(since, calm_since) > IDLE_LIMIT
            and not _begun(system, name)
        ]
        record.write("accepted", jobs=len(accepted), never_started=",".join(stuck))
        if not accepted:
            return UNABLE
        return BROKEN if stuck else HELD


def _begun(system: Deployment, name: str) -> bool:
    return bool(system.record.started(name))


def _longest_idle(
    system: Deployment, accepted: dict[str, float], calm_since: float
) -> float:
    """Return how long an accepted job waits for its first run beside free capacity."""
    now = system.record.now()
    waits = [
        now - max(at, calm_since)
        for name, at in accepted.items()
        if not _begun(system, name)
    ]
    return max(waits, default=0.0)


if __name__ == "__main__":
    sys.exit(run_case(case))
