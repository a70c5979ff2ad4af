"""Guard the path of a job from its row to its result."""

from __future__ import annotations

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


def test_gang_without_room_for_all_waits():
    """Guard against a gang that starts in part."""
    world = World()
    first = world.submit(tasks=1, accelerators=4)
    world.advance(10)
    world.submit(tasks=3, accelerators=4)
    world.advance(20)
    assert [task.rsplit(".", 2)[0] for task in world.started] == [first]
    world.settle()


def test_job_that_never_fits_is_rejected():
    """Guard against a job that waits for ever."""
    world = World()
    job_id = world.submit(tasks=4, accelerators=4)
    world.advance(60)
    assert world.ended_state(job_id) == "rejected"


def test_cancelled_job_stops_and_stays_stopped():
    """Guard against a cancelled job that goes on or runs again."""
    world = World()
    job_id = world.submit(tasks=2, accelerators=4)
    world.advance(10)
    world.cancel(job_id)
    world.advance(10)
    assert world.ended_state(job_id) == "cancelled"
    assert not world.running_tasks()


def test_failed_task_stops_the_rest():
    """Guard against a gang that goes on without one of its members."""
    world = World()
    job_id = world.submit(tasks=2, accelerators=4)
    world.advance(10)
    agent = next(a for a in world.agents.values() if a.running)
    world.finish(agent, next(iter(agent.running)), succeeded=False)
    world.advance(10)
    assert world.ended_state(job_id) == "failed"
    assert not world.running_tasks()
