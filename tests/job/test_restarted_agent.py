"""Test what an agent that was killed and started again says about earlier tasks."""

from __future__ import annotations

import pytest

from .world import World


def world_with_run(**fields):
    """Return a world in which a job runs, the job's id, and the job's agent."""
    world = World(agents=2)
    world.advance(2)
    job_id = world.submit(tasks=1, accelerators=4, **fields)
    world.advance(8)
    return world, job_id, next(a for a in world.agents.values() if a.running)


@pytest.mark.parametrize("at_most_once", [False, True])
def test_work_that_finished_while_its_agent_was_down_is_not_run_again(at_most_once):
    """Guard against a restarted agent that takes a finished task for never started."""
    world, job_id, agent = world_with_run(at_most_once=at_most_once)
    world.kill_agent(agent.name)
    world.finish(agent, next(iter(agent.running)))
    world.advance(2)
    world.restart_agent(agent.name)
    world.advance(10)
    assert world.ended_state(job_id) == "completed"
    assert len(world.started) == 1


def test_task_that_its_agent_does_not_know_is_stopped():
    """Guard against a late start whose run holds accelerators and nobody stops."""
    world = World(agents=1)
    agent = world.agents["w0"]
    agent.running["j0.1.0"] = world.local(agent) + 15.0
    world.advance(1)
    assert not agent.running


def test_renewal_that_the_worker_executes_late_prolongs_no_lease():
    """Guard against a run that outlasts the lease that its owner counts."""
    world, _, agent = world_with_run()
    agent.delays_calls = True
    while not agent.late_calls:
        world.advance(0.5)
    world.kill_agent(agent.name)
    world.advance(9)
    world.execute_late_calls(agent)
    assert agent.running
    world.advance(30)
    assert len(world.started) == 2
