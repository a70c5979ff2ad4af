"""Test what the shard's owner does not take for known: old reports, and its silence."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from wasabispur_core.log_event import JOB_HELD, REPORT_IGNORED
from wasabispur_core.storage.store import Condition, Transaction, Write
from wasabispur_core.workload.agent.lease_clock import owner_horizon
from wasabispur_core.workload.agent.runner_message import WorkerAnnounced
from wasabispur_core.workload.jobs.progress import JobState
from wasabispur_core.workload.owner.fleet_message import JobArrived
from wasabispur_core.workload.owner.fleet_write import ENDED_JOB_RETENTION
from wasabispur_core.workload.policies.policy import FleetPolicy, PolicyChanged
from wasabispur_core.workload.rows import progress_key, report_key
from wasabispur_core.workload.workers.worker import EndKind
from wasabispur_standins.simulated_worker import SimulatedWorker

from .world import started_world, tasks, TIMES, World

LONG = 60.0
"""Seconds of a run that outlasts every lease of a test."""


def busy_worker(world: World) -> SimulatedWorker:
    """Return the only worker that runs something."""
    (worker,) = (worker for worker in world.workers.values() if worker.runs)
    return worker


def index_of_agent(world: World, worker: SimulatedWorker) -> int:
    """Return the number of a worker's agent."""
    return sorted(world.agents).index(worker.agent_id)


def kill_owner(world: World) -> None:
    """Kill all entries, so that another lifetime takes the shard over."""
    for index in range(len(world.entries)):
        world.kill_entry(index)


def replace_row(world: World, key: str, value: dict[str, Any] | None) -> None:
    """Replace or remove a row, as another writer may."""
    version = world.store.rows[key].version
    world.store.apply(
        Transaction(
            operation_id=world.new_operation_id(),
            conditions=(Condition(key=key, version=version),),
            writes=(Write(key=key, value=value),),
        )
    )


def world_with_restarted_worker() -> tuple[World, SimulatedWorker]:
    """Return a world in which the only task runs on a worker's second incarnation."""
    world = started_world()
    for worker in world.workers.values():
        world.restart_worker(worker)
    world.advance(2)
    world.submit(tasks(1), duration=LONG)
    world.advance(1)
    return world, busy_worker(world)


def announce_former_incarnation(
    world: World, worker: SimulatedWorker, next_heartbeat: float
) -> None:
    """Restart an agent that receives a delayed heartbeat of a former incarnation.

    The worker's own next heartbeat follows after the given number of seconds.
    """
    world.kill_agent(index_of_agent(world, worker))
    worker.next_heartbeat = world.timers.now() + next_heartbeat
    former = replace(worker.info(), incarnation=str(worker.born - 1))
    world.agents[worker.agent_id].post(WorkerAnnounced(info=former))


def test_report_on_a_former_incarnation_ends_no_run():
    """Guard against a second run beside one on the worker's newer incarnation."""
    world, worker = world_with_restarted_worker()
    announce_former_incarnation(world, worker, next_heartbeat=2.0)
    world.advance(10)
    assert len(world.starts) == 1
    logs = [record for entry in world.entries for record in entry.records]
    ignored = [log.fields for log in logs if log.number == REPORT_IGNORED.number]
    assert [(one["incarnation"], one["known"]) for one in ignored] == [("1", "2")]


def test_new_owner_ends_no_run_for_a_report_on_a_former_incarnation():
    """Guard against a new owner that takes the last report for the newest one."""
    world, worker = world_with_restarted_worker()
    announce_former_incarnation(world, worker, next_heartbeat=4.0)
    world.advance(1)
    kill_owner(world)
    world.advance(10)
    assert len(world.starts) == 1


def test_worker_whose_clock_was_set_back_is_used_again():
    """Guard against a living worker that is ignored for good."""
    world, worker = world_with_restarted_worker()
    task = next(iter(worker.runs))
    for other in world.workers.values():
        if other is not worker:
            other.up = False
    worker.restart()
    worker.born = 1
    world.kill_agent(index_of_agent(world, worker))
    world.advance(20)
    assert [(name, where) for _, name, _, where in world.starts[1:]] == [
        (task, worker.worker_id)
    ]


def test_owner_without_the_configuration_gives_no_job_up():
    """Guard against a job with attempts left that is shown as failed."""
    world = started_world()
    job = world.submit(tasks(1), duration=LONG)
    world.advance(1)
    policy, world.policy = world.policy, FleetPolicy()
    kill_owner(world)
    world.advance(4)
    worker = busy_worker(world)
    (task,) = worker.runs
    worker.end(task, EndKind.FAILED)
    world.failures[task] = 1
    world.advance(1)
    world.policy = policy
    for entry in world.entries:
        entry.post(PolicyChanged(policy=policy))
    world.advance(1)
    assert world.state_of(job).job_state is JobState.RUNNING
    assert [run for _, _, run, _ in world.starts] == [1, 2]


def test_new_owner_waits_for_a_report_that_it_can_not_read():
    """Guard against a second run because the row with a report is invalid."""
    world = started_world()
    world.submit(tasks(1), duration=LONG)
    world.advance(1)
    worker = busy_worker(world)
    world.agents[worker.agent_id].partitioned = True
    replace_row(world, report_key(worker.worker_id), {"agent_id": 7})
    kill_owner(world)
    world.advance(6)
    assert world.owner() is not None
    assert len(world.starts) == 1


def test_run_on_a_worker_without_a_report_ends_after_the_lease_horizon():
    """Guard against a run that is held for good by a worker that is gone."""
    world = started_world()
    world.submit(tasks(1), duration=LONG)
    world.advance(1)
    worker = busy_worker(world)
    worker.up = False
    world.agents[worker.agent_id].alive = False
    replace_row(world, report_key(worker.worker_id), None)
    kill_owner(world)
    world.advance(6)
    assert len(world.starts) == 1
    world.advance(owner_horizon(TIMES))
    assert [run for _, _, run, _ in world.starts] == [1, 2]


def test_removed_report_ends_no_run_whose_lease_may_be_valid():
    """Guard against a second run because a report on a living worker was removed."""
    world = started_world()
    world.submit(tasks(1), duration=LONG)
    world.advance(1)
    worker = busy_worker(world)
    world.agents[worker.agent_id].partitioned = True
    replace_row(world, report_key(worker.worker_id), None)
    world.advance(6)
    assert len(world.starts) == 1


@pytest.mark.parametrize("later", [0, 1])
def test_report_on_a_worker_without_one_continues_its_run(later):
    """Guard against a run that is repeated, or held, once its worker reports again."""
    world = started_world()
    world.submit(tasks(1), duration=LONG)
    world.advance(1)
    worker = busy_worker(world)
    agent = world.agents[worker.agent_id]
    agent.partitioned = True
    replace_row(world, report_key(worker.worker_id), None)
    kill_owner(world)
    world.advance(4)
    if later:
        world.restart_worker(worker)
    agent.partitioned = False
    world.deliver_missed_rows()
    world.advance(4)
    assert len(world.starts) == 1 + later
    assert busy_worker(world).runs


def world_with_unreadable_progress(**fields: Any) -> tuple[World, str, SimulatedWorker]:
    """Return a world whose owner can't read the progress of a job that runs."""
    world = started_world()
    job = world.submit(tasks(1), duration=LONG)
    world.advance(1)
    worker = busy_worker(world)
    key = progress_key(job)
    record = world.store.rows[key].value | fields
    replace_row(world, key, record)
    kill_owner(world)
    world.advance(5)
    assert world.owner() is not None
    return world, job, worker


UNREADABLE = (
    {"state": "of a later version"},
    {"units": [{"state": "of a later version"}]},
)


@pytest.mark.parametrize("fields", UNREADABLE)
def test_job_whose_progress_can_not_be_read_does_not_start_anew(fields):
    """Guard against a job that is run again, with its completed tasks."""
    world, job, worker = world_with_unreadable_progress(**fields)
    other = world.submit(tasks(1), duration=1.0)
    world.advance(3)
    assert [task for _, task, _, _ in world.starts if job in task] == list(worker.runs)
    assert world.ended(other)
    held = [
        record.fields["job"]
        for entry in world.entries
        for record in entry.records
        if record.number == JOB_HELD.number
    ]
    assert held == [job]


def test_end_is_not_acknowledged_whose_job_can_not_be_read():
    """Guard against a completed task that a later owner runs again."""
    world, _, worker = world_with_unreadable_progress(**UNREADABLE[0])
    (task,) = worker.runs
    worker.end(task, EndKind.DONE)
    world.done[task] = world.timers.now()
    other = world.submit(tasks(8), duration=1.0)
    world.advance(5)
    assert world.ended(other)
    assert task in {end.task for end in worker.ended}


def test_job_whose_progress_can_not_be_read_can_be_cancelled():
    """Guard against a run that goes on after its job was cancelled."""
    world, job, worker = world_with_unreadable_progress(**UNREADABLE[1])
    # Without progress of the run, nothing else changes the orders for its worker.
    worker.stalled = True
    world.advance(2)
    world.cancel(job)
    world.advance(3)
    assert not worker.runs
    assert world.state_of(job).job_state is JobState.CANCELLED


def test_removed_job_that_is_read_again_does_not_start_anew():
    """Guard against a job that runs again because all rows were read meanwhile.

    The feed reads the table anew after the store has discarded its history. Rows of its
    first page may have been removed by the time of the last one.
    """
    world = started_world()
    job = world.submit(tasks(1), duration=1.0)
    world.advance(4)
    fleet = world.owner().fleet
    spec = fleet.jobs[job].spec
    world.advance(ENDED_JOB_RETENTION)
    assert job not in fleet.jobs
    world.owner().post(JobArrived(spec=spec))
    world.advance(2)
    assert len(world.starts) == 1
    # Once it is forgotten, a caller may submit it again.
    world.done.clear()
    accepted_at = fleet.store_offset + world.timers.now()
    world.owner().post(JobArrived(spec=replace(spec, accepted_at=accepted_at)))
    world.advance(2)
    assert len(world.starts) == 2
