"""Show that one job of 26 steps makes every entry hang."""

from __future__ import annotations

import sys
import time

from deployment import BROKEN, Deployment, disturbed, HELD, job, run_case, UNABLE
from record import Record

STEPS = 26
"""Steps of the large job; each comes after all earlier ones."""

CALM_JOBS = 4
WATCH_SECONDS = 45.0
IDLE_LIMIT = 20.0
"""Seconds without a run, with all of the capacity free; the rule allows 3."""

LARGE = "f" * 16


def large_job() -> dict[str, object]:
    """Return a job of single tasks, one after the other."""
    steps = [
        {"count": 1, **({"after": list(range(n))} if n else {})} for n in range(STEPS)
    ]
    return job(0.2, steps)


def case(record: Record) -> int:
    """Submit small jobs all the time, and one job of many steps among them."""
    with Deployment(record, entries=3, executors=4) as system:
        names = list(system.fronts)
        accepted: dict[str, float] = {}
        unanswered = 0
        begin = record.now()
        number = 0
        while record.now() - begin < WATCH_SECONDS:
            number += 1
            entry = names[number % len(names)]
            name = f"{number:016x}"
            body = job(0.5)
            if disturbed() and number == CALM_JOBS:
                name, body = LARGE, large_job()
            answer = system.request(entry, "POST", name, body)
            if answer.status == 200:
                accepted[name] = record.now()
                unanswered = 0
            else:
                unanswered += 1
            if number == CALM_JOBS:
                begin = record.now()
            time.sleep(0.5)
        record.write("ready", **{name: system.is_ready(name) for name in names})
        for entry in names:
            system.request(entry, "GET", f"{1:016x}")
        stuck = [
            name
            for name, since in accepted.items()
            if record.now() - since > IDLE_LIMIT and not record.started(name)
        ]
        record.write(
            "accepted",
            jobs=len(accepted),
            never_started=",".join(stuck),
            last_requests_unanswered=unanswered,
            owner=system.owner(),
        )
        if len(accepted) < CALM_JOBS:
            return UNABLE
        return BROKEN if stuck else HELD


if __name__ == "__main__":
    sys.exit(run_case(case))
