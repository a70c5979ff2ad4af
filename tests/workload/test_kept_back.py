"""Test what ends the states in which a unit is kept from the planner."""

from __future__ import annotations

from wasabispur_core.workload.agent.lease_clock import owner_horizon
from wasabispur_core.workload.jobs import job_lifecycle
from wasabispur_core.workload.jobs.occurrence import PageId
from wasabispur_core.workload.jobs.unit import FAILED, STOPPING, Unit, WAITING
from wasabispur_core.workload.jobs.unit_list import count_units, UnitList
from wasabispur_core.workload.rows import unit_page_key
from wasabispur_core.workload.workers.worker import EndedRun, EndKind
from wasabispur_standins.simulated_worker import SimulatedWorker

from .world import COMPLETED, gang, started_world, tasks, TIMES, World


def test_job_goes_on_if_the_last_created_unit_completes_an_occurrence(monkeypatch):
    """Guard against an error in each tick, after which nothing of any job begins."""
    monkeypatch.setattr(job_lifecycle, "OPEN_UNITS_LIMIT", 1)
    world = started_world(workers=1)
    job = world.submit(
        tasks(1),
        duration=0.5,
        repeats=2,
        repeat_interval=1.0,
        start_at=world.timers.now(),
    )
    world.advance(10)
    assert world.state_of(job).job_state is COMPLETED


def world_with_unlisted_member() -> tuple[World, Unit, SimulatedWorker]:
    """Return a world with run 2 of a gang, of whose run 1 a member never began.

    The agent of that member's worker can't report, so that the end of this member and
    of another one there is unknown.
    """
    world = started_world(workers=4)
    job = world.submit(gang(4, 4), duration=60.0)
    world.advance(1)
    (unit,) = world.owner().fleet.jobs[job].units.values()
    lost = world.workers[unit.members[0].worker_ref.worker_id]
    first, second = (str(unit.task_id(one.index)) for one in unit.members[:2])
    assert {first, second} == set(lost.runs)
    world.agents[lost.agent_id].partitioned = True
    del lost.runs[second]
    lost.end(first, EndKind.LAPSED)
    end_all(world, EndKind.BROKEN)
    world.advance(6)
    assert (unit.run, len(unit.unknown_ends)) == (2, 2)
    return world, unit, lost


def end_all(world: World, kind: EndKind) -> None:
    """End all runs of all workers."""
    for worker in world.workers.values():
        for task in list(worker.runs):
            if kind is EndKind.FAILED:
                world.failures[task] = world.failures.get(task, 0) + 1
            worker.end(task, kind)


def reconnect(world: World, worker: SimulatedWorker) -> None:
    """Let the agent of a worker reach the store again."""
    world.agents[worker.agent_id].partitioned = False
    world.deliver_missed_rows()
    world.advance(2)


def test_gang_runs_again_if_a_member_with_an_unknown_end_never_began():
    """Guard against a gang that waits for the end of a run that no worker had."""
    world, unit, lost = world_with_unlisted_member()
    end_all(world, EndKind.FAILED)
    world.advance(1)
    reconnect(world, lost)
    counts = count_units(world.owner().fleet, world.timers.now()).counts
    assert counts == {UnitList.UNKNOWN_END: 1}
    world.advance(owner_horizon(TIMES))
    assert (unit.run, unit.failures) == (3, 1)


def test_run_that_begins_late_is_not_taken_for_lost():
    """Guard against a third run while a former one may fail as the last attempt."""
    world, unit, lost = world_with_unlisted_member()
    end_all(world, EndKind.FAILED)
    world.advance(1)
    reconnect(world, lost)
    world.advance(owner_horizon(TIMES) - 4)
    second = unit.task_id(unit.members[1].index)
    lost.ends += 1
    failed = EndedRun(number=lost.ends, task=str(second), run=1, kind=EndKind.FAILED)
    lost.ended.append(failed)
    lost.expirations_at_end[lost.ends] = lost.expirations
    world.advance(2)
    assert unit.state == FAILED


def test_gang_runs_again_if_its_first_page_lacks_the_last_end():
    """Guard against a gang that neither runs nor waits after a takeover.

    The pages of a large gang may be stored by two transactions, and the owner be lost
    between them.
    """
    world = started_world(workers=8)
    job = world.submit(gang(128, 0), duration=60.0)
    world.advance(2)
    (unit,) = world.owner().fleet.jobs[job].units.values()
    last = str(unit.task_id(100))
    slow = next(one for one in world.workers.values() if last in one.runs)
    slow.stop_delay = 60.0
    for worker in world.workers.values():
        for task in [one for one in worker.runs if one != last]:
            worker.end(task, EndKind.BROKEN)
    world.advance(1)
    assert unit.state == STOPPING
    first_page = unit_page_key(job, PageId(0, 0, 0))
    earlier = world.store.rows[first_page]
    # No worker may host a second run before the owner is lost.
    for worker in world.workers.values():
        worker.draining = True
    world.advance(2)
    slow.end(last, EndKind.STOPPED)
    world.advance(1)
    assert (unit.state, unit.run) == (WAITING, 1)
    for index in range(3):
        world.kill_entry(index)
    world.store.rows[first_page] = earlier
    for worker in world.workers.values():
        worker.draining = False
    world.advance(10)
    (unit,) = world.owner().fleet.jobs[job].units.values()
    assert unit.run == 2
