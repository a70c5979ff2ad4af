"""Test how a gang continues whose member was lost with its worker."""

from __future__ import annotations

from collections.abc import Callable

from wasabispur_core.storage.feed import FeedHealth
from wasabispur_core.storage.store import Row
from wasabispur_core.workload.agent.lease_clock import owner_horizon
from wasabispur_core.workload.jobs.progress import JobState
from wasabispur_core.workload.jobs.unit import Unit
from wasabispur_core.workload.rows import report_key, REPORT_TABLE
from wasabispur_core.workload.workers.worker import EndKind

from .world import Agent, COMPLETED, gang, TIMES, World

RESTART_LIMIT = 6.0
"""Seconds within which a broken gang runs again, far less than a lease horizon."""


def world_with_gang(size: int = 4, spare: int = 1) -> tuple[World, str]:
    """Return a world in which a gang runs on one worker for each task."""
    world = World(workers=size + spare)
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


def kill_owner(world: World) -> None:
    """Kill all entries, and wait until another lifetime owns the shard."""
    for index in range(3):
        world.kill_entry(index)
    world.advance(4)


def runs_started(world: World) -> int:
    """Return the number of the last run that was started."""
    return max(run for _, _, run, _ in world.starts)


def world_with_unread_failure() -> tuple[World, str, Agent]:
    """Return a world with run 2 of a gang, and an agent that can't report run 1.

    Run 1 failed at the worker of that agent.
    """
    world, job = world_with_gang()
    failing_id = world.starts[0][3]
    agent = world.agents[world.workers[failing_id].agent_id]
    agent.partitioned = True
    fail_gang(world, failing_id)
    world.advance(RESTART_LIMIT)
    assert runs_started(world) == 2
    return world, job, agent


def reconnect(world: World, agent: Agent, seconds: float = 1.0) -> None:
    """Let an agent reach the store again."""
    agent.partitioned = False
    world.deliver_missed_rows()
    world.advance(seconds)


def fail_second_run(world: World, cut_off: Agent) -> None:
    """Let a member of run 2 fail on a worker whose agent reports."""
    failing_id = next(
        where
        for _, _, run, where in world.starts
        if run == 2 and world.workers[where].agent_id != cut_off.name
    )
    fail_gang(world, failing_id)


def test_failure_that_is_listed_after_the_next_start_counts_as_an_attempt():
    """Guard against a third run of a gang that may fail twice."""
    world, job, agent = world_with_unread_failure()
    reconnect(world, agent)
    assert unit_of(world, job).failures == 1
    fail_second_run(world, agent)
    world.advance(RESTART_LIMIT)
    assert runs_started(world) == 2
    assert world.state_of(job).job_state is JobState.FAILED


def test_failure_that_is_listed_after_a_takeover_counts_once():
    """Guard against a new owner that does not know which ends are unknown."""
    world, job, agent = world_with_unread_failure()
    kill_owner(world)
    worker = world.workers[world.starts[0][3]]
    listed = list(worker.ended)
    reconnect(world, agent)
    assert unit_of(world, job).failures == 1
    # The acknowledgement does not reach the worker, which lists the end again.
    world.agents[worker.agent_id].paused = True
    worker.ended = listed
    kill_owner(world)
    world.agents[worker.agent_id].resume()
    world.advance(1)
    assert not worker.ended
    assert unit_of(world, job).failures == 1


def test_gang_waits_for_an_unknown_end_that_may_be_its_last_attempt():
    """Guard against a start that a report on its way forbids."""
    world, job, agent = world_with_unread_failure()
    fail_second_run(world, agent)
    world.advance(2)
    assert runs_started(world) == 2
    assert not world.ended(job)
    reconnect(world, agent)
    assert world.state_of(job).job_state is JobState.FAILED


def test_gang_on_its_last_attempt_is_not_ended_early():
    """Guard against the end of a silent member whose failure would be the last one."""
    world, job = world_with_gang()
    fail_gang(world, world.starts[0][3])
    world.advance(1)
    assert runs_started(world) == 2
    failing_id = next(where for _, _, run, where in world.starts if run == 2)
    agent = world.agents[world.workers[failing_id].agent_id]
    agent.partitioned = True
    fail_gang(world, failing_id)
    world.advance(RESTART_LIMIT)
    assert runs_started(world) == 2
    reconnect(world, agent)
    assert world.state_of(job).job_state is JobState.FAILED


def test_gang_runs_again_once_the_worker_of_its_unknown_end_is_removed():
    """Guard against a gang that waits for good for a worker that is gone."""
    world, job = world_with_gang(spare=2)
    lost_id = world.starts[0][3]
    lose_worker(world, lost_id, job, EndKind.BROKEN)
    world.advance(RESTART_LIMIT)
    fail_second_run(world, world.agents[world.workers[lost_id].agent_id])
    world.advance(2)
    assert runs_started(world) == 2
    world.advance(owner_horizon(TIMES))
    assert runs_started(world) == 3
    assert not unit_of(world, job).unknown_ends


def test_crash_of_a_worker_with_an_unknown_end_is_counted():
    """Guard against a crashing task that gains attempts while agents are silent."""
    world, job = world_with_gang()
    crashed = world.workers[world.starts[0][3]]
    agent = world.agents[crashed.agent_id]
    agent.partitioned = True
    crashed.up = False
    for worker in world.workers.values():
        for task in list(worker.runs):
            if worker is not crashed:
                worker.end(task, EndKind.BROKEN)
    world.advance(RESTART_LIMIT)
    assert runs_started(world) == 2
    world.restart_worker(crashed)
    reconnect(world, agent, seconds=3)
    assert unit_of(world, job).crashes.workers == {0: 1}
