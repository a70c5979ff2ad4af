"""Show that accepted jobs never run once their route is removed."""

from __future__ import annotations

import sys
import time

from deployment import (
    BROKEN,
    Deployment,
    disturbed,
    HELD,
    job,
    route,
    run_case,
    UNABLE,
)
from record import Record

STEP_SECONDS = 4.0
CHAIN = f"{1:016x}"
FAILING = f"{2:016x}"
OTHER = f"{3:016x}"
WATCH_SECONDS = 30.0
TURN_LIMIT = 3.0
"""Seconds for which a job may have nothing running though a task's turn has come."""

NEW_ROUTE = "r-new5511"
NEW_PREFIX = "/new5511/"


def case(record: Record) -> int:
    """Replace the route while accepted jobs have tasks to run."""
    routes = [route(), route(NEW_ROUTE, NEW_PREFIX)]
    with Deployment(record, entries=3, executors=4) as system:
        entry = next(iter(system.fronts))
        system.configure(routes)
        time.sleep(3.0)
        failing = job(STEP_SECONDS, endings=("failed", "done"))
        if system.request(entry, "POST", FAILING, failing).status != 200:
            return UNABLE
        chain = job(STEP_SECONDS, [{"count": 2}, {"count": 2, "after": [0]}])
        if system.request(entry, "POST", CHAIN, chain).status != 200:
            return UNABLE
        system.wait("the first step", lambda: bool(record.started(CHAIN)), 10.0)
        removed = record.now()
        if disturbed():
            system.configure(routes[1:])
        time.sleep(STEP_SECONDS + 1.0)
        system.request(entry, "POST", OTHER, job(0.5), prefix=NEW_PREFIX)
        time.sleep(WATCH_SECONDS)
        second = [
            at for at, task, _ in record.starts if task.startswith(f"{CHAIN}.0.1.")
        ]
        ended = removed + STEP_SECONDS
        waited = (min(second) if second else record.now()) - ended
        record.write("second-step", starts=len(second), waited=f"{waited:.1f}")
        system.request(entry, "GET", CHAIN)
        if disturbed():
            system.configure(routes)
            time.sleep(10.0)
        for name in (CHAIN, FAILING):
            answer = system.request(entry, "GET", name)
        gave_up = answer.body == {"state": "failed"}
        record.write("one-failed-run", of=3, shown_as=answer.body)
        if not record.started(OTHER):
            return UNABLE
        return BROKEN if waited > TURN_LIMIT or gave_up else HELD


if __name__ == "__main__":
    sys.exit(run_case(case))
