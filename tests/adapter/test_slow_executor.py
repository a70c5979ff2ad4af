"""Test real agents beside executors that answer late or execute calls late."""

from __future__ import annotations

import signal
import time

import pytest

from wasabispur_core.log_event import WORKER_UNREACHABLE
from wasabispur_platform_standin.system import PlatformSystem
from wasabispur_standins.process import ProcessGroup, wait_for

JOB = "00000000000000f9"
TASK = f"{JOB}.0.0.0"
RUN_SECONDS = 10.0
LEASE_MS = 12_000
"""Longest lease, so that a run outlasts the restart of its agent on a slow machine."""

DELAY = 2.5
"""Seconds that exceed the time for which an agent waits for an answer."""

UNANSWERED_SECONDS = 1.0
"""Seconds that suffice for the agent and the owner to draw their conclusions."""


@pytest.mark.parametrize("fault", ["answer_delay", "call_delay"])
def test_task_runs_once_if_its_agent_restarts_beside_a_slow_executor(tmp_path, fault):
    """Guard against a second run beside one that a restarted agent knows nothing of.

    The restarted agent knew of no lease that it had granted before. After the first
    request without an answer it took the lease for over, and the task was placed on the
    other executor.
    """
    with ProcessGroup(tmp_path) as group:
        system = PlatformSystem(group, lease_ms=LEASE_MS)
        system.wait_ready()
        assert system.submit("entry-0", JOB, seconds=RUN_SECONDS).status == 200
        wait_for("the start", lambda: system.running() == [TASK])
        executor = system.busy_executors()[0]
        agent = executor.replace("executor", "agent")
        system.executor_faults(executor, **{fault: DELAY})
        system.children[agent].signal(signal.SIGKILL)
        system.restart(agent)
        unreachable = f'"event": {WORKER_UNREACHABLE.number}'
        wait_for(
            "an unanswered request of the restarted agent",
            lambda: unreachable in system.children[agent].output(),
            system.children[agent],
        )
        time.sleep(UNANSWERED_SECONDS)
        system.executor_faults(executor)
        wait_for(
            "the end of the job",
            lambda: system.state("entry-0", JOB) == "completed",
            limit=60,
        )
        assert system.overlaps() == []
        assert system.starts() == [f"{TASK} 1"]
        system.kill()
