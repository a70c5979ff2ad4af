"""Test the allocation and the reclaim of guaranteed shapes."""

from __future__ import annotations

from itertools import combinations

import pytest
from hypothesis import given, settings, strategies as st

from wasabispur_core.jobs import job_placement
from wasabispur_core.jobs.buddy import find_block, find_blocks
from wasabispur_core.jobs.fleet import Fleet, Worker
from wasabispur_core.jobs.guarantee import Adjacency, unsatisfiable_guarantees
from wasabispur_core.log_event import GUARANTEE_LOST, GUARANTEE_MET, SHARD_CLAIMED

from .world import guarantee, World

RECLAIM_BOUND = 30.0
"""Maximum seconds from the submission to the start in a reclaimed guarantee.

The task leases need 21.3 s; the periodic reads, the reservation and the ticks add to
that.
"""

WHOLE_WORKER = guarantee("peachtree", 1, 4, Adjacency.WORKER)


def fleet_of(sizes: list[int]) -> Fleet:
    fleet = Fleet()
    for number, size in enumerate(sizes):
        fleet.attach(
            Worker(
                worker_id=f"w{number}",
                region="r",
                data_centre="dc1",
                rack=f"rack{number // 2}",
                accelerators=size,
            )
        )
    return fleet


def can_pack(guarantees, free, fleet) -> bool:
    """Return whether any choice of aligned blocks meets every guarantee."""
    if not guarantees:
        return True
    shape = guarantees[0].shape
    size = shape.block_size
    blocks = [
        frozenset((worker, start + offset) for offset in range(size))
        for worker in fleet.workers
        for start in range(0, 8, size)
    ]
    blocks = [block for block in blocks if block <= free]
    for chosen in combinations(blocks, shape.blocks):
        workers = {worker for block in chosen for worker, _ in block}
        racks = {fleet.workers[worker].rack for worker in workers}
        if shape.adjacency is Adjacency.WORKER and len(workers) > 1:
            continue
        if shape.adjacency is Adjacency.RACK and len(racks) > 1:
            continue
        used = frozenset().union(*chosen)
        if len(used) == shape.blocks * size and can_pack(
            guarantees[1:], free - used, fleet
        ):
            return True
    return False


SHAPES = st.builds(
    guarantee,
    st.sampled_from(["peachtree", "prairie", "harbour"]),
    st.integers(1, 3),
    st.sampled_from([1, 2, 4]),
    st.sampled_from(list(Adjacency)),
)


@settings(max_examples=300)
@given(
    sizes=st.lists(st.sampled_from([1, 2, 4]), min_size=1, max_size=4),
    guarantees=st.lists(SHAPES, min_size=1, max_size=4, unique=True),
)
def test_packing_succeeds_exactly_if_there_is_one(sizes, guarantees):
    """Guard against a guarantee reported as lost that could be met, or the reverse."""
    fleet = fleet_of(sizes)
    free = frozenset(
        (worker, index)
        for worker, w in fleet.workers.items()
        for index in range(w.accelerators)
    )
    assert (unsatisfiable_guarantees(tuple(guarantees), fleet) == ()) == can_pack(
        guarantees, free, fleet
    )


def test_blocks_are_aligned_and_split_the_smallest():
    """Guard against a small task that splits a block which a larger task needs."""
    assert find_block((1, 2, 3, 4, 5, 6, 7), 1) == (1,)
    assert find_block((0, 2, 3, 4, 5, 6, 7), 2) == (2, 3)
    assert find_block((1, 2, 3, 4), 4) is None
    assert find_blocks(range(8), 3, 9) == [(0, 1, 2), (4, 5, 6)]


@pytest.mark.parametrize("ignores_stops", [False, True])
def test_reclaim_is_bounded_even_if_workers_ignore_stops(ignores_stops):
    """Guard against an organisation that doesn't get its guarantee back."""
    world = World(guarantees=(WHOLE_WORKER,))
    borrowers = [world.submit(organisation="prairie", accelerators=4) for _ in range(3)]
    world.advance(10)
    assert len(world.running_tasks()) == 3
    for agent in world.agents.values():
        agent.ignores_stops = ignores_stops
    job_id = world.submit(accelerators=4)
    world.advance(RECLAIM_BOUND)
    assert job_id in {job for job, _, _ in world.running_tasks()}
    still = {job for job, _, _ in world.running_tasks()} & set(borrowers)
    assert len(still) == 2
    world.settle()


def test_reclaim_stops_no_job_while_accelerators_are_free():
    """Guard against a needless preemption."""
    world = World(guarantees=(WHOLE_WORKER,))
    world.submit(organisation="prairie", accelerators=4)
    world.advance(10)
    world.submit(accelerators=4)
    world.advance(10)
    assert len(world.running_tasks()) == 2


def test_reclaimed_guarantee_is_not_lent_again():
    """Guard against queued borrowers that take the accelerators freed by a reclaim."""
    world = World(guarantees=(WHOLE_WORKER,))
    for _ in range(6):
        world.submit(organisation="prairie", accelerators=4)
    world.advance(10)
    job_id = world.submit(accelerators=4)
    world.advance(RECLAIM_BOUND)
    assert job_id in {job for job, _, _ in world.running_tasks()}


def test_reclaim_fails_without_victims(monkeypatch):
    """Show that the reclaim test fails if no borrower is stopped."""
    monkeypatch.setattr(job_placement, "choose_victims", lambda *_: [])
    with pytest.raises(AssertionError):
        test_reclaim_is_bounded_even_if_workers_ignore_stops(False)


def test_no_job_is_preempted_again_before_the_others():
    """Guard against a job that every reclaim preempts."""
    world = World(guarantees=(WHOLE_WORKER,))
    for _ in range(3):
        world.submit(organisation="prairie", accelerators=4)
    world.advance(10)
    stopped = []
    for _ in range(2):
        before = {job for job, _, _ in world.running_tasks()}
        world.submit(accelerators=4)
        world.advance(15)
        after = {job for job, _, _ in world.running_tasks()}
        stopped += before - after
        for agent in world.agents.values():
            for task_id in list(agent.running):
                if task_id.startswith(world.last_job):
                    world.finish(agent, task_id)
        world.advance(15)
    assert len(stopped) == len(set(stopped)) == 2


def test_loss_and_return_of_a_guarantee_are_logged():
    """Guard against a worker failure that breaks a guarantee without a log event."""
    world = World(
        agents=2,
        guarantees=(WHOLE_WORKER, guarantee("prairie", 1, 4, Adjacency.WORKER)),
    )
    world.advance(10)
    assert {one.number for one in world.logged} == {SHARD_CLAIMED.number}
    world.logged.clear()
    world.kill_agent("w0", machine=True)
    world.advance(1)
    (report,) = world.logged
    assert report.number == GUARANTEE_LOST.number
    assert report.fields["organisation"] in ("peachtree", "prairie")
    world.restart_agent("w0")
    world.advance(1)
    assert world.logged[-1].number == GUARANTEE_MET.number


def test_preempted_job_resumes_from_its_checkpoint():
    """Guard against a reclaim that discards the work saved in a checkpoint."""
    world = World(agents=1, guarantees=(WHOLE_WORKER,))
    borrower = world.submit(organisation="prairie", accelerators=4)
    world.advance(10)
    own = world.submit(accelerators=4)
    world.advance(15)
    assert {job for job, _, _ in world.running_tasks()} == {own}
    world.finish_all()
    world.advance(15)
    (task,) = world.agents["w0"].state.tasks.values()
    assert task.reserve.job_id == borrower
    assert task.reserve.checkpoint == f"saved {borrower}.1.0"
