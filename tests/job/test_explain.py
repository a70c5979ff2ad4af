"""Test the causes and reasons of a job's state that operators see."""

from __future__ import annotations

import pytest

from wasabispur.job_rows import read_guarantees
from wasabispur_core.jobs.explain import remedy_of
from wasabispur_core.jobs.guarantee import Adjacency
from wasabispur_core.jobs.job_placement import PolicyChanged
from wasabispur_core.jobs.job_record import Cause, guarantee_key, job_key

from .world import guarantee, SHARD, World

WHOLE_WORKER = guarantee("peachtree", 1, 4, Adjacency.WORKER)


def cause_of(world: World, job_id: str) -> Cause:
    return Cause(world.rows[job_key(SHARD, job_id)].value["cause"])


def full_world(**fields) -> World:
    world = World(**fields)
    for _ in range(3):
        world.submit(organisation="prairie", accelerators=4, estimate=9000.0)
    world.advance(10)
    return world


def test_cause_is_full_if_no_accelerator_is_free():
    """Guard against a job that waits without a recorded cause."""
    world = full_world()
    job_id = world.submit(accelerators=1)
    world.advance(12)
    assert cause_of(world, job_id) is Cause.FULL


def test_cause_is_quota_if_the_quota_is_in_use():
    """Guard against a cause that blames the fleet for an exhausted quota."""
    world = World()
    for entry in world.entries.values():
        world.post(entry, PolicyChanged(quotas={"peachtree": 4}))
    world.submit(accelerators=4)
    world.advance(8)
    job_id = world.submit(accelerators=4)
    world.advance(12)
    assert cause_of(world, job_id) is Cause.QUOTA


def test_cause_is_fragmented_if_no_free_block_is_large_enough():
    """Guard against a full fleet as the cause while enough accelerators are free."""
    world = World(agents=1)
    world.submit(accelerators=1)
    world.submit(accelerators=1)
    world.submit(accelerators=2)
    world.advance(8)
    agent = world.agents["w0"]
    for task_id in list(agent.running):
        if agent.state.tasks[task_id].reserve.accelerator_ids != (1,):
            world.finish(agent, task_id)
    job_id = world.submit(accelerators=3)
    world.advance(12)
    assert cause_of(world, job_id) is Cause.FRAGMENTED


@pytest.mark.parametrize(
    ("organisation", "cause"),
    [("peachtree", Cause.OWN_GUARANTEE), ("prairie", Cause.SPARE)],
)
def test_cause_of_a_running_job_names_the_kind_of_accelerators(organisation, cause):
    """Guard against a placement without a recorded cause."""
    world = World(guarantees=(WHOLE_WORKER,))
    job_id = world.submit(organisation=organisation, accelerators=4)
    world.advance(8)
    assert cause_of(world, job_id) is cause


def test_reason_of_a_preempted_job_names_the_reclaiming_job():
    """Guard against a preemption without the organisation and job that caused it."""
    world = full_world(guarantees=(WHOLE_WORKER,))
    own = world.submit(accelerators=4)
    world.advance(15)
    stopped = [
        row.value
        for key, row in world.rows.items()
        if key.startswith("job/") and row.value["preemptions"]
    ]
    assert len(stopped) == 1
    assert "peachtree" in stopped[0]["reason"]
    assert own in stopped[0]["reason"]


def test_every_cause_of_waiting_has_a_remedy():
    """Guard against a cause of waiting without advice for the operator."""
    placed = {Cause.OWN_GUARANTEE, Cause.SPARE, Cause.BORROWED, Cause.NO_ACCELERATORS}
    assert all(remedy_of(cause) for cause in set(Cause) - placed)


def test_lost_guarantee_is_shown_to_any_entry():
    """Guard against a lost guarantee that only the shard's owner can report."""
    world = World(agents=1, guarantees=(WHOLE_WORKER,))
    world.advance(8)
    key = guarantee_key(SHARD)
    (shown,) = read_guarantees([world.rows[key]])
    assert shown.met
    world.kill_agent("w0", machine=True)
    world.advance(8)
    (shown,) = read_guarantees([world.rows[key]])
    assert not shown.met
