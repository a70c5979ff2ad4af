"""Show that an entry that was paused never applies a configuration again."""

from __future__ import annotations

import signal
import sys
import time

from deployment import (
    BROKEN,
    Deployment,
    disturbed,
    HELD,
    job,
    KEY,
    route,
    run_case,
)
from record import Record
from wire import Answer, Session

ROUTES = 360
"""Idle routes of the grown configuration; the site file adds 1,400.

With these its row stays under the store's 65,536 bytes.
"""

CHANGE_DELAY = 0.2
"""Seconds from the begin of a pause to the change of the configuration."""

PAUSE_SECONDS = 4.0
APPLY_SECONDS = 2.5
CONTACT_SECONDS = 4.0
"""Seconds of the site file: the pause, config_apply_ms and contact_ms."""

PAUSES = 3
ROUNDS = 3
REVOKED = "key-that-is-withdrawn"
ADDED = "/added99/"


def case(record: Record) -> int:
    """Pause an entry while a large configuration changes, then withdraw a key.

    The client keeps its connection to each entry open and asks all the time.
    """
    idle = [route(f"idle-{n}", f"/idle{n:04}/") for n in range(ROUTES)]
    with Deployment(record, entries=3, executors=2) as system:
        names = list(system.fronts)
        paused = names[0]
        system.configure([route(), *idle], (KEY, REVOKED))
        time.sleep(APPLY_SECONDS)
        sessions = {name: Session(system.fronts[name], 10.0) for name in names}
        for number, name in enumerate(names):
            system.wait(
                "the key",
                lambda name=name, number=number: _accepted(
                    system, sessions, name, number
                ),
            )
        for number in range(PAUSES):
            if disturbed():
                system.signal(paused, signal.SIGSTOP)
            time.sleep(CHANGE_DELAY)
            routes = [route(target_duration_ms=1201 + number), *idle]
            system.configure(routes, (KEY, REVOKED))
            time.sleep(PAUSE_SECONDS - CHANGE_DELAY)
            if disturbed():
                system.signal(paused, signal.SIGCONT)
            _ask(system, sessions, CONTACT_SECONDS)
        added = route("added", ADDED)
        changed = system.configure([route(), added, *idle], (KEY,))
        _ask(system, sessions, APPLY_SECONDS + CONTACT_SECONDS + 1.0)
        broken = set()
        for step in range(ROUNDS):
            for position, name in enumerate(names):
                number = 100 + 10 * step + position
                late = _submit(system, sessions, name, number, REVOKED)
                if late.status == 200:
                    broken.add((name, "runs work under a withdrawn key"))
                new = system.request(
                    name, "GET", "", prefix=ADDED, session=sessions[name]
                )
                if new.status == 404:
                    broken.add((name, "does not know an added route"))
            record.write("ready", **{n: system.is_ready(n) for n in names})
            _ask(system, sessions, 4.0)
        since = record.now() - changed
        for name, what in sorted(broken):
            record.write("broken", entry=name, what=f"'{what}'", since=f"{since:.1f}")
        return BROKEN if broken else HELD


def _submit(
    system: Deployment, sessions: dict[str, Session], name: str, number: int, key: str
) -> Answer:
    job_id = f"{number:016x}"
    return system.request(
        name, "POST", job_id, job(0.2), key=key, session=sessions[name]
    )


def _accepted(
    system: Deployment, sessions: dict[str, Session], name: str, number: int
) -> bool:
    return _submit(system, sessions, name, number, REVOKED).status == 200


def _ask(system: Deployment, sessions: dict[str, Session], seconds: float) -> None:
    """Ask for a job's state on each open connection for some seconds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for name, session in sessions.items():
            system.request(name, "GET", f"{0:016x}", session=session)
        time.sleep(1.0)


if __name__ == "__main__":
    sys.exit(run_case(case))
