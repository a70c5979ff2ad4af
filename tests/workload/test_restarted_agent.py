"""Test what an agent does that restarts beside a worker whose runs continue."""

from __future__ import annotations

from wasabispur_core.log_event import RUN_ENDED, RUNS_ABANDONED
from wasabispur_core.workload.agent.lease_clock import CLOCK_DRIFT, lease_end
from wasabispur_core.workload.agent.runner import LEASE_EXPIRED
from wasabispur_core.workload.agent.runner_state import (
    ClockReading,
    LocalWorker,
    ReportState,
)
from wasabispur_core.workload.workers.worker import WorkerInfo

from .world import started_world, tasks, TIMES, World

RUN_TIME = 9.0
"""Seconds of a run that outlasts the restart of its agent."""


def world_with_run(duration: float = RUN_TIME, **fields) -> tuple[World, str, int]:
    """Return a world, the worker that runs the only task, and its agent's index."""
    world = started_world(**fields)
    world.submit(tasks(1), duration=duration)
    world.advance(2)
    worker = next(one for one in world.workers.values() if one.runs)
    return world, worker.worker_id, sorted(world.agents).index(worker.agent_id)


def restart_agent_unanswered(
    world: World, worker_id: str, index: int, seconds: float = 2.5
) -> None:
    """Restart an agent whose worker does not answer its first requests."""
    world.lost_answers.add(worker_id)
    world.kill_agent(index)
    world.advance(seconds)
    world.lost_answers.clear()


def records(processes, event) -> list[dict]:
    """Return the fields of an event's log records of some processes."""
    return [
        record.fields
        for process in processes
        for record in process.records
        if record.number == event.number
    ]


def test_restarted_agent_releases_no_run_whose_lease_may_be_valid():
    """Guard against a second run beside one that a restarted agent knows nothing of."""
    world, worker_id, index = world_with_run()
    restart_agent_unanswered(world, worker_id, index)
    world.advance(RUN_TIME)
    assert len(world.starts) == 1


def test_restarted_agent_releases_a_run_once_its_former_lease_is_over():
    """Guard against a run that is held for good at a worker that never answers."""
    world, worker_id, index = world_with_run()
    world.workers[worker_id].silent = True
    world.advance(1)
    world.kill_agent(index)
    world.workers[worker_id].silent = False
    restart_agent_unanswered(world, worker_id, index, TIMES.horizon + 1)
    abandoned = records(world.agents.values(), RUNS_ABANDONED)
    assert [(one["reason"], one["lists"]) for one in abandoned] == [(LEASE_EXPIRED, 0)]
    assert 0 < abandoned[0]["lease_over"] < 0.5


def test_lease_is_over_on_the_agents_clock_when_the_workers_clock_is_slow():
    """Guard against a lease on a slow clock that outlasts what its agent knows."""
    worker = LocalWorker(
        info=WorkerInfo(
            worker_id="w", incarnation="1", service="composer", data_centre="a1"
        ),
        lease_until=0.0,
        announced_at=97.0,
        clock=ClockReading(time=500.0, read_at=97.0),
    )
    granted = lease_end(
        worker, ReportState(session="s", confirmed_at=99.0), TIMES, 100.0
    )
    clock_at_end = 500.0 + (worker.lease_until - 97.0) * (1 - CLOCK_DRIFT)
    assert granted <= clock_at_end


def test_log_tells_why_a_run_is_refused():
    """Guard against refusals whose five causes can't be told apart on call."""
    world, worker_id, index = world_with_run()
    world.workers[worker_id].up = False
    world.advance(2)
    ended = records(world.entries, RUN_ENDED)
    assert [fields["reason"] for fields in ended] == ["the worker's process is gone"]
    abandoned = records(world.agents.values(), RUNS_ABANDONED)
    assert [(one["worker"], one["runs"]) for one in abandoned] == [(worker_id, 1)]
