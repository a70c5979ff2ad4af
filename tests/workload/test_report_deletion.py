"""Test the deletion of a worker's report, and a worker that comes back meanwhile."""

from __future__ import annotations

from dataclasses import replace
from math import inf

import pytest

from wasabispur_core.workload.agent.runner_message import RunnerTick, WorkerAnnounced
from wasabispur_core.workload.rows import report_key

from .test_restarted_agent import world_with_run
from .test_worker_removal import has_report
from .world import COMPLETED, TIME_STEP, World

RUN_TIME = 5.0
"""Seconds of a run that the removed worker had, and that has to run again."""


def world_at_removal(fault: str) -> tuple[World, str]:
    """Return a world whose agent has just begun to delete its report on a worker.

    The deletion is answered at once, or meets a fault of the store.
    """
    world, worker_id, _ = world_with_run(duration=RUN_TIME)
    worker = world.workers[worker_id]
    worker.up = False
    world.advance(3)
    agent = world.agents[worker.agent_id]
    report = agent.state.reports[worker_id]
    while report.in_flight:
        world.advance(TIME_STEP)
    world.store.down = fault == "down"
    world.store.losing = fault in ("losing", "late")
    world.store.late = fault == "late"
    # The contact has been lost for long.
    known = agent.state.workers[worker_id]
    known.announced_at = known.list_requested_at = -inf
    agent.post(RunnerTick())
    assert worker_id not in agent.state.workers
    return world, worker_id


def clear_store(world: World) -> None:
    """End the faults of the store."""
    world.store.down = world.store.losing = world.store.late = False
    world.deliver_missed_rows()


@pytest.mark.parametrize("delay", [0.0, 0.7, 3.0])
@pytest.mark.parametrize("fault", ["", "down", "losing", "late"])
@pytest.mark.parametrize("restarted", [False, True])
def test_worker_that_comes_back_during_its_removal_is_reported(restarted, fault, delay):
    """Guard against an agent that deletes the report on a worker that is back.

    The deletion was in flight or had failed when the worker announced itself.
    """
    world, worker_id = world_at_removal(fault)
    worker = world.workers[worker_id]
    world.advance(delay)
    if restarted:
        world.restart_worker(worker)
    worker.up = True
    world.agents[worker.agent_id].post(WorkerAnnounced(info=worker.info()))
    world.advance(1)
    clear_store(world)
    world.advance(5)
    info = world.store.rows[report_key(worker_id)].value["info"]
    assert info["incarnation"] == str(worker.born)
    job = next(iter(world.specs))
    world.advance(20)
    assert world.state_of(job).job_state is COMPLETED


@pytest.mark.parametrize("fault", ["down", "losing"])
def test_failed_deletion_of_a_report_is_retried(fault):
    """Guard against reports that stay on workers that are gone for good."""
    world, worker_id = world_at_removal(fault)
    world.advance(2)
    clear_store(world)
    world.advance(3)
    assert not has_report(world, worker_id)
    agent = world.agents[world.workers[worker_id].agent_id]
    assert worker_id not in agent.state.reports


def test_retried_deletion_keeps_the_report_of_another_agent():
    """Guard against a deleted report on a worker that has moved to another agent."""
    world, worker_id = world_at_removal("down")
    key = report_key(worker_id)
    row = world.store.rows[key]
    world.store.rows[key] = replace(
        row, version=row.version + 1, value=row.value | {"agent_id": "agent-other"}
    )
    clear_store(world)
    world.advance(3)
    assert has_report(world, worker_id)
