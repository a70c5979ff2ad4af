"""Test what becomes of orders that outlast the owner's patience with their worker."""

from __future__ import annotations

from .world import started_world, tasks

RUN_TIME = 9.0
"""Seconds of a run that outlasts the start of another one."""

OUTAGE = 15.0
"""Seconds of a store outage after which the owner has taken all runs for lost."""


def test_lost_run_is_not_started_from_an_old_order_beside_the_next_run():
    """Guard against two runs of one task after an outage of the store.

    The task was ordered, and its worker executed no call. The owner took the run for
    lost in the outage and could not change the orders. After the outage, the restarted
    agent read them before the change.
    """
    world = started_world()
    world.unserved_calls.update(world.workers)
    world.submit(tasks(1), duration=RUN_TIME)
    world.advance(0.2)
    world.store.down = True
    for index in range(len(world.agents)):
        world.kill_agent(index)
    world.advance(OUTAGE)
    world.clear_faults()
    world.advance(5)
    assert len({worker for _, _, _, worker in world.starts}) == 1
