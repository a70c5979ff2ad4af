"""Test which urgent jobs a guarantee covers; it has 8 accelerators in these tests."""

from __future__ import annotations

from wasabispur_core.workload.jobs.guaranteed_jobs import guaranteed_jobs

from .world import gang, started_world

LASTING = 60.0


def covered(world):
    """Return the ids of the jobs that are covered now."""
    return guaranteed_jobs(world.owner().fleet)


def submit(world, count, duration=LASTING):
    """Submit an urgent gang, and return its id once the owner has read it."""
    job = world.submit(gang(count), queue_name="urgent", duration=duration)
    world.advance(0.5)
    return job


def test_job_does_not_overtake_one_that_waits_for_its_guarantee():
    """Guard against work stopped for a job that then loses its cover to an earlier one.

    On a played day, 27 runs were stopped for the third of such jobs, which lost its
    cover 0.1 s later, when the first one ended, and had to wait again.
    """
    world = started_world(workers=1)
    first = submit(world, 4, duration=2.0)
    second = submit(world, 8)
    third = submit(world, 2)
    assert covered(world) == {first}
    world.advance(3)
    assert covered(world) == {second}
    assert third not in covered(world)


def test_job_larger_than_its_guarantee_keeps_no_other_from_it():
    """Guard against a guarantee that is never used again after one large job."""
    world = started_world(workers=2)
    submit(world, 12)
    other = submit(world, 4)
    assert covered(world) == {other}


def test_all_jobs_within_the_guarantee_are_covered():
    """Guard against a job within its organisation's guarantee that isn't covered."""
    world = started_world(workers=2)
    jobs = {submit(world, 4), submit(world, 2), submit(world, 2)}
    assert covered(world) == jobs
