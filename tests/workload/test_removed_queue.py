"""Test what a later configuration means for accepted jobs."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from wasabispur_core.storage.store import Transaction, Write
from wasabispur_core.workload.jobs.progress import JobState
from wasabispur_core.workload.policies.policy import FleetPolicy, Queue
from wasabispur_core.workload.rows import job_key, progress_key
from wasabispur_core.workload.workers.worker import EndKind

from .world import POLICY, queue, started_world, tasks, World

LONG = 60.0
"""Seconds of a run that outlasts a test."""


def with_queues(*queues: Queue, version: int = 2) -> FleetPolicy:
    """Return a later configuration with other queues."""
    return replace(
        POLICY, version=version, queues={queue.name: queue for queue in queues}
    )


OTHER_QUEUE_ONLY = with_queues(POLICY.queues["bulk"])


def kill_owner(world: World) -> None:
    """Kill all entries, so that a new owner reads everything."""
    for index in range(len(world.entries)):
        world.kill_entry(index)


def fail_run(world: World, job: str) -> None:
    """Let the only run of a job fail."""
    for worker in world.workers.values():
        for task in list(worker.runs):
            if task.startswith(job):
                worker.end(task, EndKind.FAILED)
                world.failures[task] = world.failures.get(task, 0) + 1


def runs_of(world: World, job: str) -> list[int]:
    """Return the numbers of the runs of a job with a single task."""
    return [run for _, task, run, _ in world.starts if task.startswith(job)]


def store_rows(world: World, rows: dict[str, dict[str, Any] | None]) -> None:
    """Replace rows, as an earlier version stored them."""
    writes = tuple(Write(key=key, value=value) for key, value in rows.items())
    world.store.apply(Transaction(operation_id="earlier", conditions=(), writes=writes))


@pytest.mark.parametrize("takeover", [False, True])
def test_job_goes_on_once_its_queue_is_removed(takeover):
    """Guard against an accepted job that waits until its queue is configured again."""
    world = started_world()
    job = world.submit(tasks(2), tasks(2, after=(0,)), duration=2.0)
    world.advance(1)
    world.configure(OTHER_QUEUE_ONLY)
    if takeover:
        kill_owner(world)
        world.advance(5)
    world.advance(6)
    assert len(world.starts) == 4
    world.configure(replace(POLICY, version=3))
    assert world.state_of(job).job_state is JobState.COMPLETED


@pytest.mark.parametrize("takeover", [False, True])
def test_job_keeps_its_attempts_once_its_queue_is_removed(takeover):
    """Guard against one failed run that ends a job with attempts left."""
    world = started_world()
    job = world.submit(tasks(1), queue_name="urgent", duration=LONG)
    world.advance(1)
    world.configure(OTHER_QUEUE_ONLY)
    if takeover:
        kill_owner(world)
        world.advance(5)
    for _ in range(3):
        fail_run(world, job)
        world.advance(1)
    assert runs_of(world, job) == [1, 2, 3, 4]
    fail_run(world, job)
    world.advance(1)
    assert world.ended(job)
    assert runs_of(world, job) == [1, 2, 3, 4]


def test_job_keeps_its_attempts_if_they_are_lowered():
    """Guard against a job that ends sooner than when it was accepted."""
    world = started_world()
    job = world.submit(tasks(1), queue_name="urgent", duration=LONG)
    world.advance(1)
    world.configure(with_queues(queue("urgent", 0, attempts=1)))
    fail_run(world, job)
    world.advance(1)
    assert runs_of(world, job) == [1, 2]


def test_job_follows_its_queue_to_another_service():
    """Guard against a job that waits for a service which its queue has left."""
    world = started_world()
    elsewhere = replace(POLICY.queues["batch"], service="elsewhere")
    world.configure(with_queues(elsewhere))
    job = world.submit(tasks(1), duration=1.0)
    world.advance(2)
    assert job in world.accepted
    assert not world.starts
    world.configure(with_queues(POLICY.queues["batch"], version=3))
    world.advance(2)
    assert len(world.starts) == 1


def test_job_of_a_removed_organisation_goes_on():
    """Guard against a job that stops with its organisation's guarantee."""
    world = started_world()
    job = world.submit(
        tasks(1), tasks(1, after=(0,)), queue_name="urgent", duration=1.0
    )
    world.advance(0.5)
    world.configure(replace(POLICY, version=2, organisations={}))
    world.advance(4)
    assert world.ended(job)
    assert len(world.starts) == 2


def test_row_without_terms_takes_them_from_its_queue():
    """Guard against jobs of an earlier version that stop once their queue is removed.

    The owner keeps what it knew of the queue beside the job's progress.
    """
    world = started_world()
    job = world.submit(tasks(1), tasks(1, after=(0,)), duration=LONG)
    world.advance(1)
    row = dict(world.store.rows[job_key(job)].value)
    row.pop("terms", None)
    progress = dict(world.store.rows[progress_key(job)].value)
    store_rows(world, {job_key(job): row, progress_key(job): progress})
    kill_owner(world)
    world.advance(5)
    world.configure(OTHER_QUEUE_ONLY)
    kill_owner(world)
    world.advance(5)
    fail_run(world, job)
    world.advance(1)
    assert runs_of(world, job) == [1, 2]


@pytest.mark.parametrize("attempts", [1, 2])
def test_job_of_which_nothing_is_known_waits_for_its_queue(attempts):
    """Guard against a job that fails because its queue is unknown at its first failure.

    Its row is of an earlier version, and its queue was removed before the upgrade. Once
    the queue is back, the attempts that it grants count.
    """
    world = started_world()
    job = world.submit(tasks(1), duration=LONG)
    world.advance(1)
    row = dict(world.store.rows[job_key(job)].value)
    row.pop("terms", None)
    store_rows(world, {job_key(job): row})
    world.policy = OTHER_QUEUE_ONLY
    kill_owner(world)
    world.advance(5)
    fail_run(world, job)
    world.advance(2)
    assert not world.ended(job)
    assert runs_of(world, job) == [1]
    world.attempt_limits[job] = attempts
    world.configure(with_queues(queue("batch", 1, attempts), version=3))
    world.advance(1)
    assert runs_of(world, job) == [1, 2][:attempts]
    assert world.ended(job) is (attempts == 1)
