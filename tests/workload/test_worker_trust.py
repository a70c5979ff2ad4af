"""Test when workers are suspected, and when they are trusted again."""

from __future__ import annotations

from wasabispur_core.workload.jobs.unit import UnitId
from wasabispur_core.workload.workers.reported_worker import Worker
from wasabispur_core.workload.workers.worker import EndKind
from wasabispur_core.workload.workers.worker_trust import (
    FAILURE_LIMIT,
    SUSPICION_TIMEOUT,
    update_trust,
)

from .world import tasks, World


def started(jobs: int) -> tuple[World, list]:
    """Return a world in which each job has a running unit on each of two workers."""
    world = World(workers=2)
    world.advance(4)
    ids = [world.submit(tasks(2, 2), duration=60.0) for _ in range(jobs)]
    world.advance(1)
    fleet = world.owner().fleet
    return world, [fleet.jobs[job_id] for job_id in ids]


def fail_on(world: World, job, position: int, worker: Worker) -> None:
    """Record that a task of a job failed on a worker."""
    fleet, now = world.owner().fleet, world.timers.now()
    unit = job.units[UnitId(job.spec.job_id, 0, 0, position)]
    update_trust(worker, unit, EndKind.FAILED, fleet, now)


def test_worker_is_trusted_again_once_its_jobs_are_found_faulty():
    """Guard against a sound worker that stays suspected because of faulty jobs.

    Two jobs failed on one worker first, and on another one later. The failures were
    removed, but the worker got no units for the rest of the suspicion time.
    """
    world, (first, second) = started(jobs=2)
    workers = world.owner().fleet.workers
    fail_on(world, first, 0, workers["w0"])
    fail_on(world, second, 0, workers["w0"])
    assert workers["w0"].suspected_until == world.timers.now() + SUSPICION_TIMEOUT
    fail_on(world, first, 1, workers["w1"])
    assert len(workers["w0"].failed_units) < FAILURE_LIMIT
    assert workers["w0"].suspected_until == 0.0


def test_restarted_worker_is_trusted():
    """Guard against a suspicion that outlives the process that failed its runs."""
    world, (first, second) = started(jobs=2)
    owner = world.owner()
    worker = owner.fleet.workers["w0"]
    fail_on(world, first, 0, worker)
    fail_on(world, second, 0, worker)
    world.restart_worker(world.workers["w0"])
    world.advance(2)
    assert worker.info.incarnation == str(world.workers["w0"].born)
    assert worker.suspected_until == 0.0
