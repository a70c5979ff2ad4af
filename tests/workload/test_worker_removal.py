"""Test when an agent removes a worker, and with it the report that holds its runs."""

from __future__ import annotations

from math import inf

import pytest

from wasabispur_core.workload.agent.lease_clock import CONTACT_LIMIT, owner_horizon
from wasabispur_core.workload.agent.runner_message import WorkerLeft
from wasabispur_core.workload.agent.runner_state import LeaseTimes
from wasabispur_core.workload.rows import report_key

from .test_restarted_agent import world_with_run
from .world import HEARTBEAT_INTERVAL, started_world, tasks, TIMES, World

LONG_RUN_TIME = 200.0
"""Seconds of a run that outlasts the removal of its worker."""

REMOVAL_TIME = CONTACT_LIMIT + TIMES.max_duration + 2.0
"""Seconds without contact within which a worker is removed."""


def has_report(world: World, worker_id: str) -> bool:
    """Return whether the store has a report on the worker."""
    return report_key(worker_id) in world.store.rows


def use_lease_times(world: World, times: LeaseTimes) -> None:
    """Use other lease durations in all processes, as a changed setting does."""
    for agent in world.agents.values():
        agent.state.times = times
    for entry in world.entries:
        entry.fleet.horizon = owner_horizon(times)


@pytest.mark.parametrize("seconds", [15.0, CONTACT_LIMIT + 3.0, 60.0])
def test_worker_is_removed_only_after_its_lease_if_no_answer_arrives(seconds):
    """Guard against a second run beside one whose lease unanswered calls extended."""
    world, worker_id, _ = world_with_run(duration=LONG_RUN_TIME)
    worker = world.workers[worker_id]
    worker.next_heartbeat = inf
    world.lost_answers.add(worker_id)
    world.advance(seconds)
    removed = seconds > REMOVAL_TIME
    assert has_report(world, worker_id) is not removed
    assert len(world.starts) == 1 + removed


def test_worker_with_a_long_lease_is_removed_after_it():
    """Guard against runs that are released while a lease from the settings holds."""
    world, worker_id, _ = world_with_run(duration=LONG_RUN_TIME)
    use_lease_times(world, LeaseTimes(max_duration=40.0, horizon=60.0))
    world.advance(2)
    world.workers[worker_id].silent = True
    world.advance(30)
    assert has_report(world, worker_id)
    world.advance(40)
    assert not has_report(world, worker_id)
    assert len(world.starts) == 2


def test_worker_that_answers_again_before_its_lease_is_over_keeps_its_runs():
    """Guard against a lease that is never extended again after a long silence."""
    world, worker_id, _ = world_with_run(duration=60.0)
    worker = world.workers[worker_id]
    worker.next_heartbeat = inf
    world.lost_answers.add(worker_id)
    world.advance(CONTACT_LIMIT + 3.0)
    world.lost_answers.clear()
    worker.next_heartbeat = 0.0
    world.advance(60)
    assert len(world.starts) == 1


def test_dead_worker_is_removed():
    """Guard against reports that stay on workers whose process has ended."""
    world, worker_id, _ = world_with_run(duration=LONG_RUN_TIME)
    world.workers[worker_id].up = False
    world.advance(CONTACT_LIMIT + 1.0)
    assert not has_report(world, worker_id)


def test_departed_worker_is_removed():
    """Guard against reports that stay on workers that have deregistered."""
    world, worker_id, _ = world_with_run(duration=LONG_RUN_TIME)
    worker = world.workers[worker_id]
    worker.up = False
    world.agents[worker.agent_id].post(WorkerLeft(worker_id=worker_id))
    world.advance(CONTACT_LIMIT + 1.0)
    assert not has_report(world, worker_id)


def test_worker_that_never_answered_is_removed():
    """Guard against a report on a worker that crashed before its first answer."""
    world, worker_id, index = world_with_run(duration=LONG_RUN_TIME)
    world.lost_answers.add(worker_id)
    world.kill_agent(index)
    world.advance(2)
    world.workers[worker_id].silent = True
    world.advance(REMOVAL_TIME)
    assert not has_report(world, worker_id)


def test_departed_worker_that_still_answers_keeps_its_runs():
    """Guard against runs that are released while a worker that leaves goes on."""
    world, worker_id, _ = world_with_run(duration=LONG_RUN_TIME)
    worker = world.workers[worker_id]
    worker.draining = True
    world.advance(2)
    worker.next_heartbeat = inf
    world.agents[worker.agent_id].post(WorkerLeft(worker_id=worker_id))
    world.advance(10)
    assert all(start[3] != worker_id for start in world.starts[1:])


def test_departed_worker_that_falls_silent_loses_its_lease():
    """Guard against runs that are held at a worker that left without a trace."""
    world, worker_id, _ = world_with_run(duration=LONG_RUN_TIME)
    worker = world.workers[worker_id]
    worker.silent = True
    world.agents[worker.agent_id].post(WorkerLeft(worker_id=worker_id))
    world.advance(TIMES.max_duration + 4)
    assert len(world.starts) == 2


def test_worker_that_comes_back_after_its_removal_starts_no_former_order():
    """Guard against orders that stay behind when the owner loses a report.

    The worker got no call for the run, so that its lists don't show that it ended, and
    the owner is too slow to replace the orders when the worker is back.
    """
    world = started_world(workers=2)
    for worker in world.workers.values():
        worker.silent = True
    world.submit(tasks(1), duration=LONG_RUN_TIME)
    world.advance(0.3)
    ordered = world.ordered_workers()
    assert len(ordered) == 1
    for worker_id, worker in world.workers.items():
        worker.silent = worker_id in ordered
    world.advance(60)
    assert not has_report(world, ordered[0])
    assert len(world.starts) == 1
    world.workers[ordered[0]].silent = False
    world.owner().paused = True
    world.advance(HEARTBEAT_INTERVAL + 0.3)
    assert len(world.starts) == 1
