"""Test that the simulation reports only what breaks a rule."""

from __future__ import annotations

from .world import started_world, tasks


def test_step_may_start_after_an_end_that_was_listed_before_the_worker_restarted():
    """Guard against reporting a start after an end that the owner knows of.

    The agent has read the end, and its worker restarts before the acknowledgement.
    """
    world = started_world()
    job = world.submit(tasks(1), tasks(2, after=(0,)), duration=0.3)
    world.advance(0.2)
    world.store.down = True
    world.advance(1)
    worker = next(one for one in world.workers.values() if one.ended)
    world.restart_worker(worker)
    world.clear_faults()
    world.advance(8)
    assert world.ended(job)
