"""Test how a gang continues whose member was lost with its worker."""

from __future__ import annotations

from collections.abc import Callable

from wasabispur_core.feed import FeedHealth
from wasabispur_core.store import Row
from wasabispur_core.workload.rows import report_key, REPORT_TABLE
from wasabispur_core.workload.unit import Unit
from wasabispur_core.workload.worker import EndKind

from .world import COMPLETED, gang, World

RESTART_LIMIT = 6.0
"""Seconds within which a broken gang runs again, far less than a lease horizon."""


def world_with_gang(size: int = 4) -> tuple[World, str]:
    """Return a world in which a gang runs on one worker for each task."""
    world = World(workers=size + 1)
    world.advance(4)
    job = world.submit(gang(size, 8), duration=30.0)
    world.advance(1)
    assert len(world.starts) == size
    return world, job


def lose_worker(world: World, worker_id: str, job: str, kind: EndKind) -> None:
    """Remove a worker with its agent, and end the other members of the gang."""
    lost = world.workers[worker_id]
    lost.up = False
    world.agents[lost.agent_id].alive = False
    for worker in world.workers.values():
        for task in list(worker.runs):
            if worker is not lost and task.startswith(job):
                worker.end(task, kind)


def fail_gang(world: World, *failing_ids: str) -> None:
    """Let the members on some workers fail, so that the others end as broken."""
    for worker in world.workers.values():
        for task in list(worker.runs):
            if worker.worker_id in failing_ids:
                world.failures[task] = world.failures.get(task, 0) + 1
                worker.end(task, EndKind.FAILED)
            else:
                worker.end(task, EndKind.BROKEN)


def unit_of(world: World, job: str) -> Unit:
    """Return the only unit of a job, as the owner knows it."""
    (unit,) = world.owner().fleet.jobs[job].units.values()
    return unit


def test_gang_runs_again_once_the_others_show_that_the_lost_member_ended():
    """Guard against a gang that waits for a worker that is gone for good."""
    world, job = world_with_gang()
    lose_worker(world, world.starts[0][3], job, EndKind.BROKEN)
    world.advance(RESTART_LIMIT)
    assert [run for _, _, run, _ in world.starts].count(2) == 4
    world.advance(40)
    assert world.state_of(job).job_state is COMPLETED


def test_gang_runs_again_after_a_takeover():
    """Guard against a new owner that no longer knows how the members ended."""
    world, job = world_with_gang()
    lose_worker(world, world.starts[0][3], job, EndKind.BROKEN)
    world.advance(1)
    for index in range(3):
        world.kill_entry(index)
    world.advance(RESTART_LIMIT + 4)
    assert [run for _, _, run, _ in world.starts].count(2) == 4


def test_gang_waits_if_the_silent_member_may_still_start():
    """Guard against a second run beside a member whose start is carried out late."""
    world, job = world_with_gang()
    lose_worker(world, world.starts[0][3], job, EndKind.ALONE)
    world.advance(RESTART_LIMIT)
    assert [run for _, _, run, _ in world.starts].count(2) == 0


def test_gang_waits_for_two_silent_workers():
    """Guard against a member that goes on at one worker while another one ended."""
    world, job = world_with_gang()
    first, second = (where for _, _, _, where in world.starts[:2])
    world.agents[world.workers[second].agent_id].partitioned = True
    lose_worker(world, first, job, EndKind.BROKEN)
    world.advance(RESTART_LIMIT)
    assert [run for _, _, run, _ in world.starts].count(2) == 0


def test_failure_of_a_member_still_counts_as_an_attempt():
    """Guard against a failed attempt that is taken for the loss of a worker."""
    world, job = world_with_gang()
    fail_gang(world, world.starts[0][3])
    world.advance(RESTART_LIMIT)
    assert unit_of(world, job).failures == 1


def hold_reports(world: World, worker_id: str) -> Callable[[], None]:
    """Hold a worker's reports back from the owner; return what delivers them."""
    owner = world.owner()
    tables, deliver = world.store.listeners[owner]
    held = []

    def filter_changes(rows: tuple[Row, ...], removed: tuple[str, ...]) -> None:
        late = tuple(row for row in rows if row.key == report_key(worker_id))
        held.extend(late)
        deliver(tuple(row for row in rows if row not in late), removed)

    def release() -> None:
        world.store.listeners[owner] = tables, deliver
        deliver(tuple(held), ())

    world.store.listeners[owner] = tables, filter_changes
    return release


def test_owner_without_its_feed_takes_no_worker_for_silent():
    """Guard against a failure that is lost because the owner could not read of it."""
    world, job = world_with_gang()
    failing_id = world.starts[0][3]
    owner = world.owner()
    release = hold_reports(world, failing_id)
    fail_gang(world, failing_id)
    world.advance(0.5)
    owner.post(FeedHealth(table=REPORT_TABLE, healthy=False))
    world.advance(RESTART_LIMIT)
    assert [run for _, _, run, _ in world.starts].count(2) == 0
    release()
    owner.post(FeedHealth(table=REPORT_TABLE, healthy=True))
    world.advance(1)
    assert unit_of(world, job).failures == 1


def test_new_owner_counts_a_failure_whose_run_has_yet_to_end():
    """Guard against an attempt that is forgotten if its owner is lost meanwhile."""
    world, job = world_with_gang()
    failing_id, cut_off_id = (where for _, _, _, where in world.starts[:2])
    cut_off = world.agents[world.workers[cut_off_id].agent_id]
    cut_off.partitioned = True
    fail_gang(world, failing_id)
    world.advance(1)
    assert unit_of(world, job).run_failed
    for index in range(3):
        world.kill_entry(index)
    world.advance(3)
    cut_off.partitioned = False
    world.deliver_missed_rows()
    world.advance(2)
    assert unit_of(world, job).failures == 1
