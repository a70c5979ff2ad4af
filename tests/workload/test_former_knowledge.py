"""Test that nothing is released because a process doesn't know or was told late."""

from __future__ import annotations

from dataclasses import replace

from wasabispur_core.workload.agent.lease_clock import CONTACT_LIMIT
from wasabispur_core.workload.agent.runner_message import WorkerAnnounced, WorkerLeft
from wasabispur_core.workload.agent.runner_state import LeaseTimes, ReportState
from wasabispur_core.workload.rows import report_key

from .test_restarted_agent import RUN_TIME, world_with_run
from .world import started_world, tasks, TIMES, World

LONG_RUN_TIME = 60.0
"""Seconds of a run that outlasts the removal of its worker."""


def world_with_long_run(duration: float = LONG_RUN_TIME) -> tuple[World, str, int]:
    """Return a world, the worker that runs the only task, and its agent's index."""
    world = started_world()
    world.submit(tasks(1), duration=duration)
    world.advance(2)
    worker = next(one for one in world.workers.values() if one.runs)
    return world, worker.worker_id, sorted(world.agents).index(worker.agent_id)


def test_late_heartbeat_of_a_former_incarnation_ends_no_run():
    """Guard against runs that end since a restarted agent hears a late heartbeat.

    The agent knows of no later incarnation, and reports the former one.
    """
    world = started_world(workers=2)
    former = {name: worker.info() for name, worker in world.workers.items()}
    for worker in world.workers.values():
        world.restart_worker(worker)
    world.advance(4)
    world.submit(tasks(1), duration=RUN_TIME)
    world.advance(2)
    worker = next(one for one in world.workers.values() if one.runs)
    world.kill_agent(sorted(world.agents).index(worker.agent_id))
    world.advance(0.1)
    worker.next_heartbeat = world.timers.now() + 1.0
    world.agents[worker.agent_id].post(WorkerAnnounced(info=former[worker.worker_id]))
    world.advance(RUN_TIME)
    assert len(world.starts) == 1


def test_worker_with_a_valid_lease_is_not_removed():
    """Guard against a second run beside one whose lease the agent still extends.

    The worker gets the agent's calls, but neither its answers nor its heartbeats
    arrive.
    """
    world, worker_id, _ = world_with_long_run()
    world.lost_answers.add(worker_id)
    world.workers[worker_id].next_heartbeat = float("inf")
    world.advance(CONTACT_LIMIT + 5)


def test_task_that_ended_at_a_removed_worker_is_not_run_again():
    """Guard against a second run of a task that ended while its worker was silent."""
    world, worker_id, _ = world_with_long_run(duration=15.0)
    world.lost_answers.add(worker_id)
    world.workers[worker_id].next_heartbeat = float("inf")
    world.advance(CONTACT_LIMIT + 5)
    world.lost_answers.clear()
    world.workers[worker_id].next_heartbeat = 0.0
    world.advance(5)


def test_late_deregistration_of_a_former_incarnation_ends_no_run():
    """Guard against runs that end since the former process's last call is late.

    The call names no incarnation, and the worker still answers its agent.
    """
    world, worker_id, _ = world_with_run()
    worker = world.workers[worker_id]
    worker.stop_delay = 2.0
    world.agents[worker.agent_id].post(WorkerLeft(worker_id=worker_id))
    world.advance(5)


def test_former_lease_under_longer_settings_is_taken_as_valid():
    """Guard against a second run after a restart with a shorter longest lease."""
    world, worker_id, index = world_with_run()
    world.lost_answers.add(worker_id)
    world.kill_agent(index)
    agent = world.agents[world.workers[worker_id].agent_id]
    agent.state.times = LeaseTimes(max_duration=2.0, horizon=TIMES.horizon)
    world.advance(8)


def test_worker_that_returns_after_an_unanswered_removal_is_managed():
    """Guard against an agent that fails once a removal had no answer."""
    world, worker_id, _ = world_with_run()
    worker = world.workers[worker_id]
    transact = world.transact

    def lose_removals(process, command):
        removes = any(write.value is None for write in command.transaction.writes)
        world.store.losing = removes
        transact(process, command)
        world.store.losing = False

    world.transact = lose_removals
    worker.silent = True
    world.advance(CONTACT_LIMIT + TIMES.max_duration + 4)
    assert worker_id not in world.agents[worker.agent_id].state.workers
    worker.silent = False
    world.advance(6)


def test_row_that_cannot_be_read_ends_no_run_at_a_takeover():
    """Guard against a report that can't be decoded and counts as removed."""
    world, worker_id, _ = world_with_run()
    key = report_key(worker_id)
    row = world.store.rows[key]
    info = row.value["info"] | {"address": "no address"}
    world.store.rows[key] = replace(row, value=row.value | {"info": info})
    owner = next(n for n, one in enumerate(world.entries) if one.fleet.active)
    world.agents[world.workers[worker_id].agent_id].partitioned = True
    world.kill_entry(owner)
    world.advance(6)


def test_report_whose_number_starts_again_counts():
    """Guard against a worker that counts as silent while its agent reports it.

    An agent numbers its reports from 1 again after it removed the row, and an owner
    that read only the new row knows a higher number of the former one.
    """
    world, worker_id, _ = world_with_long_run()
    world.advance(8)
    agent = world.agents[world.workers[worker_id].agent_id]
    del world.store.rows[report_key(worker_id)]
    agent.state.reports[worker_id] = ReportState(session="new")
    world.advance(2)
    assert world.store.rows[report_key(worker_id)].value["number"] < 5
    world.advance(16)
    assert len(world.starts) == 1
