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


def world_with_late_start(**fields):
    """Return a world whose worker has yet to execute a start of its killed agent."""
    world = World(agents=2)
    world.advance(2)
    for agent in world.agents.values():
        agent.delays_calls = True
    job_id = world.submit(tasks=1, accelerators=4, **fields)
    while not any(agent.late_calls for agent in world.agents.values()):
        world.advance(0.5)
    late = next(agent for agent in world.agents.values() if agent.late_calls)
    for agent in world.agents.values():
        agent.delays_calls = False
    world.kill_agent(late.name)
    world.advance(1)
    world.restart_agent(late.name)
    return world, job_id, late


@pytest.mark.parametrize("delay", [1, 6, 12, 20])
@pytest.mark.parametrize("at_most_once", [False, True])
def test_start_that_is_executed_after_a_restart_of_its_agent_runs_alone(
    delay, at_most_once
):
    """Guard against a start that was told as never and takes effect later."""
    world, job_id, agent = world_with_late_start(at_most_once=at_most_once)
    world.advance(delay)
    world.execute_late_calls(agent)
    world.advance(30)
    world.settle()
    assert world.ended_state(job_id) == "completed"


def test_cancelled_job_does_not_end_before_a_late_start_is_ruled_out():
    """Guard against a cancelled job that runs after its caller heard of the end."""
    world, job_id, agent = world_with_late_start()
    world.cancel(job_id)
    world.advance(8)
    world.execute_late_calls(agent)
    assert agent.running
    world.advance(10)
    assert not agent.running
    assert world.ended_state(job_id) == "cancelled"
