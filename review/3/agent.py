"""Show that an agent that was paused never carries out an order again."""

from __future__ import annotations

import json
import signal
import sys
import time

from deployment import BROKEN, Deployment, disturbed, HELD, job, run_case, UNABLE
from executor import Executor
from record import Record

PAUSE_SECONDS = 4.0
"""Length of a pause in the site file."""

CHANGE_DELAY = 0.2
"""Seconds from the begin of a pause to a change of the orders."""

CONTACT_SECONDS = 4.0
CANCEL_SECONDS = 3.0
TURN_LIMIT = 14.0
"""Seconds for which an accepted job may wait beside free capacity; the rule says 3."""

SPEC_BYTES = 2_000
"""Largest length of a request in the site file; the protocol allows 4,000."""

LARGE_JOBS = 13
SMALL_JOBS = 12
PAUSES = 3


def worded() -> dict[str, object]:
    """Return a lasting job whose spec holds Japanese text of the largest length."""
    body = job(None, cpu=500, gpu=0)
    spec = {**json.loads(body["spec"]), "text": ""}
    room = SPEC_BYTES - len(json.dumps(spec).encode())
    spec["text"] = "\u9001" * (room // 3)
    return {**body, "spec": json.dumps(spec, ensure_ascii=False)}


def case(record: Record) -> int:
    """Pause an agent while one of the jobs of its executor is cancelled."""
    with Deployment(record, entries=3, executors=1) as system:
        entry = next(iter(system.fronts))
        agent = next(name for name in system.processes if name.startswith("side"))
        executor = system.executors[0]
        names = [f"{number:016x}" for number in range(LARGE_JOBS + PAUSES)]
        for number, name in enumerate(names):
            body = job(None, cpu=500, gpu=0) if number < PAUSES else worded()
            if system.request(entry, "POST", name, body).status != 200:
                return UNABLE
        system.wait("the jobs", lambda: len(executor.running()) == len(names), 10.0)
        cancelled: dict[str, float] = {}
        for name in names[:PAUSES]:
            if disturbed():
                system.signal(agent, signal.SIGSTOP)
            time.sleep(CHANGE_DELAY)
            answer = system.request(entry, "DELETE", name)
            if answer.status == 200:
                cancelled[name] = record.now()
            time.sleep(PAUSE_SECONDS - CHANGE_DELAY)
            if disturbed():
                system.signal(agent, signal.SIGCONT)
            time.sleep(CONTACT_SECONDS)
        small = [f"{100 + number:016x}" for number in range(SMALL_JOBS)]
        accepted = [
            name
            for name in small
            if system.request(entry, "POST", name, job(1.0, cpu=500)).status == 200
        ]
        time.sleep(TURN_LIMIT)
        stuck = [name for name in accepted if not record.started(name)]
        running_on = [
            name
            for name, at in cancelled.items()
            if _runs(executor, name) and record.now() - at > CANCEL_SECONDS
        ]
        for name in (*cancelled, *accepted[:2]):
            system.request(entry, "GET", name)
        record.write("stuck", accepted=len(accepted), never_started=len(stuck))
        record.write("cancelled", jobs=len(cancelled), run_on=",".join(running_on))
        if not accepted:
            return UNABLE
        return BROKEN if stuck or running_on else HELD


def _runs(executor: Executor, name: str) -> bool:
    return any(task.startswith(f"{name}.") for task in executor.running())


if __name__ == "__main__":
    sys.exit(run_case(case, "agent-record.txt"))
