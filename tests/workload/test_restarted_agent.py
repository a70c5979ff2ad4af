"""Test what an agent does that restarts beside a worker whose runs continue."""

from __future__ import annotations

from wasabispur_core.log_event import RUN_ENDED, RUNS_ABANDONED

from .world import started_world, tasks, World

RUN_TIME = 9.0
"""Seconds of a run that outlasts the restart of its agent."""


def world_with_run(**fields) -> tuple[World, str, int]:
    """Return a world, the worker that runs the only task, and its agent's index."""
    world = started_world(**fields)
    world.submit(tasks(1), duration=RUN_TIME)
    world.advance(2)
    worker = next(one for one in world.workers.values() if one.runs)
    return world, worker.worker_id, sorted(world.agents).index(worker.agent_id)


def records(processes, event) -> list[dict]:
    """Return the fields of an event's log records of some processes."""
    return [
        record.fields
        for process in processes
        for record in process.records
        if record.number == event.number
    ]


def test_log_tells_why_a_run_is_refused():
    """Guard against refusals whose five causes can't be told apart on call."""
    world, worker_id, index = world_with_run()
    world.workers[worker_id].up = False
    world.advance(2)
    ended = records(world.entries, RUN_ENDED)
    assert [fields["reason"] for fields in ended] == ["the worker's process is gone"]
    abandoned = records(world.agents.values(), RUNS_ABANDONED)
    assert [(one["worker"], one["runs"]) for one in abandoned] == [(worker_id, 1)]
