"""Guard what a cordon in the bundle in force does to a data centre's jobs."""

from __future__ import annotations

import pytest

from wasabispur_core.jobs.guarantee import Adjacency
from wasabispur_core.jobs.job_record import Cause, guarantee_key, job_key, JobState
from wasabispur_core.log_event import BUNDLE_CORDON_BEGUN, BUNDLE_CORDON_ENDED

from .world import guarantee, SHARD, World

WHOLE_WORKER = guarantee("peachtree", 1, 4, Adjacency.WORKER)


def cordon(
    world: World, cordoned: bool = True, entries: bool = True, agents: bool = True
) -> None:
    """Put a cordon into force, or withdraw it, in the entries or in the agents."""
    world.cordon(
        cordoned,
        [
            *(world.entries.values() if entries else ()),
            *(world.agents.values() if agents else ()),
        ],
    )


def row_of(world: World, job_id: str) -> dict:
    return world.rows[job_key(SHARD, job_id)].value


@pytest.mark.parametrize(("entries", "agents"), [(True, False), (False, True)])
def test_nothing_starts_in_a_cordoned_data_centre(entries, agents):
    """Guard against a run that starts as one process has not read the bundle yet."""
    world = World()
    world.advance(8)
    cordon(world, entries=entries, agents=agents)
    job_id = world.submit(tasks=2, accelerators=4)
    world.advance(20)
    assert world.started == []
    cordon(world, False)
    world.advance(20)
    assert row_of(world, job_id)["state"] == JobState.RUNNING.value
    assert not row_of(world, job_id)["failed_workers"]


def test_running_gang_goes_on_and_completes():
    """Guard against a cordon that stops or loses active runs."""
    world = World()
    job_id = world.submit(tasks=2, accelerators=4)
    world.advance(8)
    cordon(world)
    world.advance(40)
    assert row_of(world, job_id)["state"] == JobState.RUNNING.value
    assert len(world.started) == 2
    for agent in world.agents.values():
        for task_id in list(agent.running):
            world.finish(agent, task_id)
    world.advance(8)
    assert job_key(SHARD, job_id) not in world.rows


@pytest.mark.parametrize("step", [0.0, 0.5, 1.0, 1.5, 2.0])
def test_gang_is_started_whole_or_not_at_all(step):
    """Guard against half a gang that runs, as agents read the bundle at other times."""
    world = World()
    world.advance(8)
    job_id = world.submit(tasks=2, accelerators=4)
    world.advance(step)
    world.cordon(True, [world.agents["w0"]])
    world.advance(30)
    cordon(world)
    world.advance(30)
    running = [task for agent in world.agents.values() for task in agent.running]
    assert len(running) in (0, 2)
    expected = JobState.RUNNING if running else JobState.QUEUED
    assert row_of(world, job_id)["state"] == expected.value


def test_explanation_names_the_cordon():
    """Guard against a wait that is explained by a lack of accelerators."""
    world = World()
    world.advance(8)
    cordon(world)
    job_id = world.submit(accelerators=4)
    world.advance(12)
    assert Cause(row_of(world, job_id)["cause"]) is Cause.CORDONED


def test_guarantees_stay_allocated_and_nothing_is_reclaimed():
    """Guard against borrowers that are stopped for a job that can't start."""
    world = World(guarantees=(WHOLE_WORKER,))
    for _ in range(3):
        world.submit(organisation="prairie", accelerators=4, estimate=9000.0)
    world.advance(10)
    cordon(world)
    world.submit(organisation="peachtree", accelerators=4)
    world.advance(20)
    assert sum(len(agent.running) for agent in world.agents.values()) == 3
    assert all(one["met"] for one in world.rows[guarantee_key(SHARD)].value["shapes"])


def test_cordon_and_its_withdrawal_are_logged_once():
    """Guard against a cordon that operators can't find in the logs."""
    world = World(entries=1)
    world.advance(8)
    for cordoned in (True, True, False, False):
        cordon(world, cordoned, agents=False)
    numbers = [one.number for one in world.logged]
    assert numbers.count(BUNDLE_CORDON_BEGUN.number) == 1
    assert numbers.count(BUNDLE_CORDON_ENDED.number) == 1
