"""Test where a gang runs again after it has failed on most of the workers."""

from __future__ import annotations

from wasabispur_core.workload.progress import JobState

from .world import gang, started_world


def test_gang_that_failed_on_most_workers_runs_again():
    """Guard against a gang that waits for good, since the other workers are too few."""
    world = started_world()
    job = world.submit(gang(3, 6), duration=1.0)
    world.failing_jobs.add(job)
    world.advance(60)
    assert world.state_of(job).job_state is JobState.FAILED
