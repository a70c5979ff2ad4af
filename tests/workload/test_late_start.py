"""Test a start without an answer that a later lifetime of its worker carries out."""

from __future__ import annotations

import pytest

from wasabispur_core.workload.agent.lease_clock import CONTACT_LIMIT
from wasabispur_core.workload.agent.runner_message import WorkerAnnounced
from wasabispur_core.workload.rows import report_key
from wasabispur_core.workload.workers.worker import EndedRun, EndKind
from wasabispur_standins.simulated_worker import SimulatedWorker

from .world import started_world, tasks, World

START_DELAY = 4.0
"""Seconds after which a start without an answer is carried out."""


def world_with_unanswered_start() -> tuple[World, SimulatedWorker]:
    """Return a world, and the worker that will carry out the only task's start late.

    Other starts arrive at once.
    """
    world = started_world(workers=2)
    world.late_starts_reach_later_lifetimes = True
    world.delayed_starts = True
    world.start_delay = START_DELAY
    world.submit(tasks(1), duration=30.0)
    world.advance(0.2)
    ordered = world.ordered_workers()
    assert len(ordered) == 1
    world.delayed_starts = False
    return world, world.workers[ordered[0]]


@pytest.mark.parametrize("down", [0.0, 2.0])
def test_late_start_after_the_heartbeat(down):
    """Guard against two runs after a crash between a start and its execution.

    The later lifetime has the same id and knows no fencing token, so that it takes the
    start that was meant for the former one.
    """
    world, worker = world_with_unanswered_start()
    worker.up = False
    world.advance(down)
    world.restart_worker(worker)
    world.advance(START_DELAY + 2.0)
    assert len(world.starts) == 1


@pytest.mark.parametrize("orders_first", [True, False])
def test_late_start_after_a_restart_of_the_agent(orders_first):
    """Guard against a restarted agent that doesn't know which starts it had sent."""
    world, worker = world_with_unanswered_start()
    worker.up = False
    world.kill_agent(sorted(world.agents).index(worker.agent_id))
    if orders_first:
        world.advance(0.5)
    world.restart_worker(worker)
    world.agents[worker.agent_id].post(WorkerAnnounced(info=worker.info()))
    world.advance(START_DELAY + 2.0)
    assert len(world.starts) == 1


def test_later_lifetime_that_never_answers_is_reported_and_removed_in_the_end():
    """Guard against a worker that is kept for good since it can't be told to stop."""
    world, worker = world_with_unanswered_start()
    worker.up = False
    world.kill_agent(sorted(world.agents).index(worker.agent_id))
    world.restart_worker(worker)
    world.agents[worker.agent_id].post(WorkerAnnounced(info=worker.info()))
    worker.silent = True
    world.advance(CONTACT_LIMIT + 10.0)
    assert report_key(worker.worker_id) not in world.store.rows
    assert [run for _, _, run, _ in world.starts] == [1, 2]


@pytest.mark.parametrize("down", [0.0, 2.0])
def test_late_start_before_the_heartbeat(down):
    """Guard against two runs if the start is carried out before the first heartbeat."""
    world, worker = world_with_unanswered_start()
    worker.up = False
    world.advance(down)
    world.restart_worker(worker)
    worker.next_heartbeat = world.timers.now() + START_DELAY
    world.advance(START_DELAY + 4.0)
    assert world.starts


def test_late_start_just_after_the_return():
    """Guard against two runs if the start is the first call that a lifetime serves."""
    world, worker = world_with_unanswered_start()
    worker.up = False
    world.advance(START_DELAY - 0.25)
    world.restart_worker(worker)
    worker.next_heartbeat = world.timers.now() + START_DELAY
    world.advance(START_DELAY + 4.0)
    assert world.starts


def test_crash_under_an_unanswered_start_costs_no_wait():
    """Guard against a task that waits for a lifetime of its worker that may never come.

    Its start is barred at that lifetime instead.
    """
    world, worker = world_with_unanswered_start()
    worker.up = False
    crashed_at = world.timers.now()
    world.advance(2.0)
    ((started_at, _, run, worker_id),) = world.starts
    assert run == 2
    assert worker_id != worker.worker_id
    assert started_at - crashed_at < 1.5


def test_later_lifetime_gets_no_lease_or_acknowledgement_of_the_former_one():
    """Guard against runs that hold a lease, and ends that are forgotten unseen.

    The requests for the lists go on while a worker is down, and a later lifetime serves
    them before its first heartbeat.
    """
    world = started_world(workers=2)
    world.late_starts_reach_later_lifetimes = True
    world.submit(tasks(8), duration=0.5)
    world.submit(tasks(8, 1), duration=20.0)
    world.advance(3)
    worker = world.workers["w0"]
    assert world.agents[worker.agent_id].state.workers["w0"].orders.acknowledged
    worker.up = False
    world.advance(2)
    world.restart_worker(worker)
    worker.next_heartbeat = world.timers.now() + 3.0
    unseen = EndedRun(number=1, task="unseen.0.0.0", run=1, kind=EndKind.DONE)
    worker.ended.append(unseen)
    worker.expirations_at_end[1] = worker.expirations
    world.advance(2)
    assert worker.expiry == 0.0
    assert worker.ended == [unseen]


def test_starts_that_were_answered_are_not_barred_after_a_crash():
    """Guard against a worker whose return waits for stops that prevent nothing."""
    world = started_world(workers=2)
    world.submit(tasks(4), duration=0.5)
    world.advance(3)
    worker = world.workers["w0"]
    world.restart_worker(worker)
    world.advance(2)
    agent = world.agents[worker.agent_id]
    assert not agent.state.workers["w0"].former_runs
