"""Test what the owner counts as used on a worker."""

from __future__ import annotations

from dataclasses import replace

from wasabispur_core.workload.jobs.spec import Resources, TaskId

from .world import started_world, tasks


def test_unknown_run_of_a_filling_task_reserves_no_cpu():
    """Guard against cpu that is taken for used until a filling run has been stopped."""
    world = started_world(workers=1)
    job = world.submit(tasks(1, 1, filling=True, long_running=True), duration=60)
    world.advance(1)
    fleet = world.owner().fleet
    (worker,) = fleet.workers.values()
    (run,) = worker.runs
    reserved = Resources(memory=100, accelerators=1)
    assert fleet.allocated(worker) == reserved
    former = replace(run, task=str(TaskId(job, 0, 0, 1)))
    worker.unknown_runs = (former,)
    assert fleet.allocated_to_unknown_runs(worker) == reserved
