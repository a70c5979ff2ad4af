"""Test the path of a job from its row to its result."""

from __future__ import annotations

import pytest

from wasabispur_core.requests.permit import FromEntry

from .world import World


def test_gang_runs_and_completes():
    """Guard against a gang that never starts or whose result is not written."""
    world = World()
    job_id = world.submit(tasks=3, accelerators=4)
    world.advance(10)
    assert len(world.started) == 3
    world.finish_all()
    world.advance(3)
    assert world.ended_state(job_id) == "completed"


def test_gang_waits_until_all_its_members_fit():
    """Guard against a gang that starts only some of its members."""
    world = World()
    first = world.submit(tasks=1, accelerators=4)
    world.advance(10)
    world.submit(tasks=3, accelerators=4)
    world.advance(20)
    assert [task.rsplit(".", 2)[0] for task in world.started] == [first]
    world.settle()


def test_job_that_never_fits_is_rejected():
    """Guard against a job that waits forever although it can never run."""
    world = World()
    job_id = world.submit(tasks=4, accelerators=4)
    world.advance(60)
    assert world.ended_state(job_id) == "rejected"


def test_cancelled_job_stops_and_stays_stopped():
    """Guard against a cancelled job that keeps running or runs again."""
    world = World()
    job_id = world.submit(tasks=2, accelerators=4)
    world.advance(10)
    world.cancel(job_id)
    world.advance(10)
    assert world.ended_state(job_id) == "cancelled"
    assert not world.running_tasks()


def test_failed_task_stops_the_rest():
    """Guard against a gang that keeps running after one of its members failed."""
    world = World()
    job_id = world.submit(tasks=2, accelerators=4, at_most_once=True)
    world.advance(10)
    agent = next(a for a in world.agents.values() if a.running)
    world.finish(agent, next(iter(agent.running)), succeeded=False)
    world.advance(10)
    assert world.ended_state(job_id) == "failed"
    assert not world.running_tasks()


def test_gang_whose_members_are_all_lost_at_once_runs_again():
    """Guard against a loss that is reported to a gang which already ended."""
    world = World(agents=2)
    job_id = world.submit(tasks=2, accelerators=4)
    world.advance(10)
    for agent in world.agents:
        world.kill_agent(agent, machine=True)
    world.advance(30)
    for agent in world.agents:
        world.restart_agent(agent)
    world.advance(20)
    assert len(world.started) == 4
    world.settle()
    assert world.ended_state(job_id) == "completed"


@pytest.mark.parametrize("wait", [0, 20])
def test_late_reservation_at_a_new_agent_ends_the_gang(wait):
    """Guard against a gang that counts a restarted agent's task as running."""
    world = World(agents=1)
    job_id = world.submit(accelerators=4)
    world.advance(10)
    agent = world.agents["w0"]
    reserve = next(iter(agent.state.tasks.values())).reserve
    entry = next(iter(agent.state.owners.values()))
    world.advance(wait)
    world.kill_agent("w0")
    world.restart_agent("w0")
    world.post(agent, FromEntry(entry_id=entry, message=reserve))
    world.run()
    world.advance(20)
    assert len(world.started) == 2
    world.settle()
    assert world.ended_state(job_id) == "completed"
