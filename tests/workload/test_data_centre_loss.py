"""Guard what the loss of a data centre or a region does to jobs and guarantees."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from wasabispur_core.workload.jobs.spec import TaskId

from .world import COMPLETED, gang, ORGANISATIONS, Process, tasks, TIMES, World

CENTRES = ("a1", "a2", "a3")
RECLAIM_TIME = 3.4
"""Seconds within which a job that a guarantee covers starts after its acceptance."""

TAKEOVER_TIME = 4.0
"""Seconds until another entry owns the shard: its lease of 2 s, and the reports."""

RELEASE_TIME = TIMES.horizon + 1.0
"""Seconds until no run of an agent that is gone can still be active, and one report."""


def three_centres(**fields) -> World:
    """Return a world with an entry and two workers in each of three data centres."""
    world = World(workers=6, cordons=True, **fields)
    for number, worker in enumerate(world.workers.values()):
        worker.data_centre = CENTRES[number // 2]
    world.advance(4)
    return world


def processes_in(world: World, centres: Iterable[str]) -> list[Process]:
    """Return the entries and agents in some data centres."""
    entries = [world.entries[CENTRES.index(centre)] for centre in centres]
    return entries + [
        world.agents[worker.agent_id]
        for worker in world.workers.values()
        if worker.data_centre in centres
    ]


def lose(world: World, *centres: str) -> None:
    """Remove all machines of some data centres for good."""
    for process in processes_in(world, centres):
        process.alive = False
        world.store.listeners.pop(process, None)
    for worker in world.workers.values():
        if worker.data_centre in centres:
            worker.up = False


def partition(world: World, *centres: str, healed: bool = False) -> None:
    """Cut all processes of some data centres off from the store, or connect them."""
    for process in processes_in(world, centres):
        process.partitioned = not healed
    world.deliver_missed_rows()


def owner_centre(world: World) -> str:
    return CENTRES[world.entries.index(world.owner())]


def others(*centres: str) -> list[str]:
    return [centre for centre in CENTRES if centre not in centres]


def starts_of(world: World, job: str) -> list[tuple[float, str, int, str]]:
    return [start for start in world.starts if TaskId.parse(start[1]).job_id == job]


def completes(world: World, *jobs: str) -> bool:
    """Return whether an entry that is left answers that all jobs are completed."""
    entry = live_entry(world)
    return all(world.state_of(job, entry).job_state is COMPLETED for job in jobs)


def live_entry(world: World) -> int:
    """Return the number of an entry that is alive and reaches the store."""
    return next(
        number
        for number, entry in enumerate(world.entries)
        if entry.alive and not entry.partitioned
    )


@pytest.mark.parametrize("region", [False, True])
def test_loss_of_the_owner_and_its_workers(region):
    """Guard against accepted jobs that end with the data centre of the owner."""
    world = three_centres()
    jobs = [world.submit(tasks(36), duration=3.0), world.submit(gang(8), duration=3.0)]
    world.advance(1)
    lost = [owner_centre(world)]
    if region:
        lost.append(others(*lost)[0])
    lose(world, *lost)
    world.advance(TAKEOVER_TIME)
    assert owner_centre(world) in others(*lost)
    jobs.append(world.submit(tasks(4), entry=live_entry(world)))
    world.advance(1)
    assert starts_of(world, jobs[-1])
    world.advance(RELEASE_TIME + 15)
    assert completes(world, *jobs)


def test_loss_of_half_of_a_gang():
    """Guard against half a gang that goes on, and against a gang that runs twice."""
    world = three_centres()
    job = world.submit(gang(32), duration=20.0)
    world.advance(1)
    used = {world.workers[where].data_centre for *_, where in starts_of(world, job)}
    lost = next(one for one in used if one != owner_centre(world))
    lose(world, lost)
    world.advance(RELEASE_TIME + 2)
    left = [worker for worker in world.workers.values() if worker.up]
    runs = [run.run for worker in left for run in worker.runs.values()]
    assert len(runs) in (0, 32)
    assert len(set(runs)) <= 1
    world.advance(30)
    assert completes(world, job)
    again = starts_of(world, job)[32:]
    assert len(again) == 32
    assert {world.workers[where].data_centre for *_, where in again} <= {*others(lost)}


def test_loss_of_one_data_centre_while_another_is_cordoned():
    """Guard against a cordon that is ignored for want of room, and lost jobs."""
    world = three_centres()
    job = world.submit(tasks(40), duration=3.0)
    world.advance(1)
    lost = owner_centre(world)
    cordoned, left = others(lost)
    world.cordon(cordoned)
    world.advance(0.2)
    since = world.timers.now()
    lose(world, lost)
    large = world.submit(gang(24), entry=CENTRES.index(left))
    world.advance(RELEASE_TIME + 20)
    late = [where for at, _, _, where in world.starts if at > since]
    assert {world.workers[where].data_centre for where in late} == {left}
    assert completes(world, job)
    assert not starts_of(world, large)
    world.cordon(cordoned, withdrawn=True)
    world.advance(6)
    assert completes(world, large)


@pytest.mark.parametrize("owner_inside", [True, False])
@pytest.mark.parametrize("seconds", [3.0, 30.0])
def test_region_that_is_cut_off_from_the_store_and_returns(owner_inside, seconds):
    """Guard against second runs of tasks whose workers go on out of reach.

    The world reports each task that runs twice at once or again after its end.
    """
    world = three_centres()
    jobs = [world.submit(tasks(40), duration=8.0), world.submit(gang(6), duration=8.0)]
    world.advance(1)
    cut = owner_centre(world)
    if not owner_inside:
        cut = others(cut)[0]
    inside = [one for one in world.workers.values() if one.data_centre == cut]
    active = sum(len(one.runs) for one in inside)
    assert active
    partition(world, cut)
    refused = world.submit(tasks(1), entry=CENTRES.index(cut))
    world.advance(seconds)
    assert refused in world.refused
    if seconds < TIMES.max_duration:
        assert sum(len(one.runs) for one in inside) == active
    else:
        assert sum(len(one.runs) for one in inside) == 0
        assert completes(world, *jobs)
    partition(world, cut, healed=True)
    jobs.append(world.submit(tasks(48), duration=2.0))
    world.advance(30)
    assert completes(world, *jobs)
    assert not starts_of(world, refused)
    used = {
        world.workers[where].data_centre for *_, where in starts_of(world, jobs[-1])
    }
    assert cut in used
    if seconds < TIMES.max_duration and not owner_inside:
        assert len(starts_of(world, jobs[0])) == 40


@pytest.mark.parametrize(
    ("lost", "wait", "bound"),
    [
        ("other", 0.0, RECLAIM_TIME),
        ("owner", TAKEOVER_TIME, RECLAIM_TIME),
        # Nobody decides before another entry owns the shard.
        ("owner", 0.0, TAKEOVER_TIME + RECLAIM_TIME),
        ("region", TAKEOVER_TIME, RECLAIM_TIME),
    ],
)
def test_guarantees_hold_on_the_remaining_workers(lost, wait, bound):
    """Guard against guarantees that wait for the data centre that is lost.

    The workers of one data centre suffice for the guarantees of both organisations.
    """
    world = three_centres()
    world.submit(tasks(48), duration=60.0, organisation="prairie", queue_name="bulk")
    world.advance(2)
    centre = owner_centre(world)
    other = others(centre)[0]
    lose(world, *{"other": [other], "owner": [centre], "region": [centre, other]}[lost])
    world.advance(wait)
    jobs = [
        world.submit(
            gang(8), queue_name="urgent", entry=live_entry(world), organisation=name
        )
        for name in ORGANISATIONS
    ]
    world.advance(bound)
    assert [len(starts_of(world, job)) for job in jobs] == [8, 8]
