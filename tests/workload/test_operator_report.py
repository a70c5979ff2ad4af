"""Test what operators of similar systems report, one fault for each report.

The simulated world checks after each step that no task runs twice at the same time,
after its end, or although its job was refused.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from wasabispur_core.workload.policies.policy import PolicyChanged

from .world import COMPLETED, started_world, tasks, World

LONG = 60.0
"""Seconds of a run that outlasts every lease of a test."""


def lease_horizon(world: World) -> float:
    """Return the seconds for which an agent extends leases without a report."""
    return next(iter(world.agents.values())).state.times.horizon


@pytest.mark.parametrize(("share", "starts"), [(0.5, 1), (0.9, 1), (1.1, 2), (2.0, 2)])
def test_silent_worker_keeps_its_work_for_its_lease(share, starts):
    """Guard against work that is started elsewhere, or given up, during a silence.

    Within the lease the run goes on; after it, another worker starts the task once.
    """
    world = started_world()
    job = world.submit(tasks(1), duration=LONG)
    world.advance(1)
    busy = next(worker for worker in world.workers.values() if worker.runs)
    agent = world.agents[busy.agent_id]
    agent.partitioned = True
    world.advance(share * lease_horizon(world))
    agent.partitioned = False
    world.deliver_missed_rows()
    world.advance(LONG + 25)
    assert world.state_of(job).job_state is COMPLETED
    assert len(world.starts) == starts


@pytest.mark.parametrize("pause", [0.5, 2.5, 6.0])
def test_owner_that_wakes_after_its_successor_writes_nothing(pause):
    """Guard against two owners that both order runs around a takeover."""
    world = started_world()
    owner = world.owner()
    epoch = owner.fleet.epoch
    job = world.submit(tasks(4), entry=1, duration=3.0)
    for _ in range(200):
        if owner.shard.ownership.in_flight_rows:
            break
        world.timers.advance(0.002)
    assert owner.shard.ownership.in_flight_rows
    owner.paused = True
    world.advance(pause)
    late = world.submit(tasks(2), entry=2, duration=3.0)
    world.advance(3)
    successor = next(
        (entry for entry in world.entries if entry.fleet.active and entry is not owner),
        None,
    )
    owner.resume()
    world.advance(15)
    assert world.state_of(job).job_state is COMPLETED
    assert world.state_of(late).job_state is COMPLETED
    assert len(world.starts) == 6
    if successor is not None:
        assert successor.fleet.epoch > epoch
        assert not owner.fleet.owning


@pytest.mark.parametrize("pause", [1.0, 8.0, 13.0, 25.0])
def test_agent_that_wakes_does_not_start_what_moved(pause):
    """Guard against a start under a lease that ended while the agent was paused."""
    world = started_world()
    for agent in world.agents.values():
        agent.paused = True
    job = world.submit(tasks(2), duration=4.0)
    world.advance(0.5)
    ordered = [agent for agent in world.agents.values() if agent.queued_messages]
    assert ordered
    awake = set(world.agents.values()) - set(ordered)
    for agent in awake:
        agent.resume()
    world.advance(pause)
    for agent in ordered:
        agent.resume()
    world.advance(40)
    assert world.state_of(job).job_state is COMPLETED


def test_late_start_after_the_end_elsewhere_runs_nothing():
    """Guard against a start that takes effect after its task ended elsewhere."""
    world = started_world()
    world.delayed_starts = True
    world.start_delay = 8.0
    job = world.submit(tasks(2), duration=1.0)
    world.advance(0.5)
    world.delayed_starts = False
    world.advance(20)
    assert world.state_of(job).job_state is COMPLETED
    assert len(world.starts) == 2


def test_what_left_stays_away_after_a_restart_of_all_entries():
    """Guard against a departed worker or a withdrawn key that is used again."""
    world = started_world(workers=3)
    gone = world.workers["w0"]
    gone.up = False
    world.kill_agent(0)
    keys = {"prairie": "prairie"}
    world.policy = replace(world.policy, version=world.policy.version + 1, keys=keys)
    for entry in world.entries:
        entry.post(PolicyChanged(policy=world.policy))
    world.advance(1)
    for index in range(3):
        world.kill_entry(index)
    world.advance(8)
    refused = world.submit(tasks(1), organisation="peachtree")
    accepted = world.submit(tasks(8), organisation="prairie")
    world.advance(20)
    assert refused not in world.accepted
    assert world.ended(accepted)
    assert all(worker_id != "w0" for _, _, _, worker_id in world.starts)
