"""Test that a gang is placed if only the scatter of small tasks is in its way."""

from __future__ import annotations

import pytest

from wasabispur_core.workload.planning.plan import Preempt

from .test_planner import decide, running, stopped, waiting, worker
from .world import COMPLETED, gang, started_world, tasks

LOST_AFTER = 3.0
"""Seconds without a run, in a service that is half empty, after which a job is lost."""


def scattered(count: int, priority: int = 2) -> tuple[list, list]:
    """Return workers of which each runs one small task, and these tasks."""
    workers = [worker(number, used=1) for number in range(count)]
    runs = [
        running(f"s{number}", number, 1, priority=priority) for number in range(count)
    ]
    return workers, runs


def test_gang_starts_beside_small_tasks_on_every_worker():
    """Guard against a gang that runs nothing in a service that is nearly empty."""
    world = started_world(workers=8)
    small = world.submit(
        tasks(8, 1, tasks_per_worker=1), queue_name="bulk", duration=20
    )
    world.advance(1)
    job = world.submit(gang(3, 8), queue_name="batch", duration=1)
    world.advance(LOST_AFTER)
    assert sum(task.startswith(job) for _, task, _, _ in world.starts) == 3
    world.advance(60)
    assert world.state_of(small).job_state is COMPLETED


def test_fewest_small_tasks_are_stopped_for_a_gang():
    """Guard against stopping more work than the gang needs."""
    workers, runs = scattered(6)
    unit = waiting("gang", 8, size=2, priority=1)
    assert len(stopped(decide(workers, [unit], runs, now=2.0))) == 2


@pytest.mark.parametrize(
    ("case", "now"), [("soon", 0.5), ("busy", 2.0), ("running", 2.0), ("alike", 2.0)]
)
def test_no_work_is_stopped_for_a_gang_that_may_wait(case, now):
    """Guard against stopping work without need.

    The gang has just begun to wait, the service is busy, the job runs already, or the
    small tasks are as urgent as the gang.
    """
    workers, runs = scattered(6, priority=1 if case == "alike" else 2)
    if case == "busy":
        workers = [worker(number, used=6) for number in range(6)]
    if case == "running":
        runs.append(running("gang", 0, 1))
    unit = waiting("gang", 8, size=2, priority=1)
    decisions = decide(workers, [unit], runs, now=now)
    assert not any(isinstance(one, Preempt) for one in decisions)
