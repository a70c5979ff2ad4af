"""Test that no start exceeds the capacity of a worker that does not guard it."""

from __future__ import annotations

from random import Random

import pytest

from wasabispur_core.workload.jobs.spec import Resources

from .world import CAPACITY, CAPACITY_NOTICE, COMPLETED, gang, tasks, World

HALF = Resources(cpu=4000, memory=4000, accelerators=4)
NOTHING = Resources()
SLOW_STOP = 0.9
"""Seconds from a stop to the end of a run."""


def unguarded_world(**fields) -> World:
    world = World(**fields)
    for worker in world.workers.values():
        worker.guards = False
        worker.stop_delay = SLOW_STOP
    world.advance(4)
    return world


@pytest.mark.parametrize("capacity", [HALF, NOTHING])
def test_shrunk_worker_gets_no_start_beyond_its_capacity(capacity):
    """Guard against starts on room that a worker no longer has."""
    world = unguarded_world(workers=1)
    worker = world.workers["w0"]
    jobs = [world.submit(tasks(8), duration=4.0) for _ in range(3)]
    world.advance(2)
    world.set_capacity(worker, capacity)
    world.advance(CAPACITY_NOTICE + 20)
    world.set_capacity(worker, CAPACITY)
    world.advance(40)
    for job in jobs:
        assert world.state_of(job).job_state is COMPLETED


def test_runs_that_are_being_stopped_still_count():
    """Guard against a start beside a run whose stop was ordered but has not ended."""
    world = unguarded_world(workers=1)
    bulk = world.submit(tasks(8), queue_name="bulk", duration=20.0)
    world.advance(1)
    urgent = world.submit(tasks(1, 8), queue_name="urgent", duration=1.0)
    world.advance(10)
    assert world.ended(urgent)
    world.advance(60)
    assert world.state_of(urgent).job_state is COMPLETED
    assert world.state_of(bulk).job_state is COMPLETED


@pytest.mark.parametrize("seed", range(6))
def test_no_start_exceeds_the_capacity_under_faults(seed):
    """Guard against starts beyond the capacity around restarts and late orders."""
    random = Random(seed)
    world = unguarded_world(workers=3)
    for _ in range(25):
        fault = random.choice(
            (
                lambda: world.kill_entry(random.randrange(3)),
                lambda: world.kill_agent(random.randrange(3)),
                lambda: world.set_capacity(
                    random.choice(list(world.workers.values())),
                    random.choice((HALF, NOTHING, CAPACITY)),
                ),
                lambda: setattr(world, "delayed_starts", random.random() < 0.3),
                lambda: world.submit(
                    random.choice((tasks, gang))(random.randint(1, 6), 2),
                    queue_name=random.choice(("urgent", "batch", "bulk")),
                    duration=random.choice((0.5, 3.0, 8.0)),
                ),
            )
        )
        fault()
        world.advance(random.choice((0.2, 1.0, 3.0)))
