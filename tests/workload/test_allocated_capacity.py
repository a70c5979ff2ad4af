"""Test what the owner counts as used on a worker."""

from __future__ import annotations

from dataclasses import replace

import pytest

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


@pytest.mark.parametrize("suffix", ["", ".0.²", ".0.².0", ".0.99.0", ".0.-1.0"])
def test_unknown_run_with_an_odd_id_ends_no_planning(suffix):
    """Guard against a worker's list with an id that stops the owner."""
    world = started_world(workers=1)
    job = world.submit(tasks(1, 1), duration=60)
    world.advance(1)
    fleet = world.owner().fleet
    (worker,) = fleet.workers.values()
    (run,) = worker.runs
    worker.unknown_runs = (replace(run, task=f"{job}{suffix}"),)
    assert fleet.allocated_to_unknown_runs(worker) == Resources()
