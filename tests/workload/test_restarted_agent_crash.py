"""Test what an agent that has just restarted says of a worker that crashes then."""

from __future__ import annotations

from dataclasses import replace

import pytest

from wasabispur_core.log_event import RUN_ENDED
from wasabispur_core.storage.store import Row
from wasabispur_core.workload.agent.runner_message import WorkerAnnounced
from wasabispur_core.workload.rows import report_key
from wasabispur_core.workload.workers.worker import EndKind, WorkerState

from .test_restarted_agent import records, restart_agent_unanswered, world_with_run
from .world import HEARTBEAT_INTERVAL, tasks, World

MEETING_TIME = HEARTBEAT_INTERVAL + 0.1
"""Seconds within which a restarted agent has met its worker by a heartbeat."""

REPORT_TIME = 2.0
"""Seconds within which a crash is reported, and less than a worker needs to restart."""


def crash_after_restart(
    world: World, worker_id: str, index: int, meeting_time: float = MEETING_TIME
) -> list[str]:
    """Restart the agent, crash its worker, and return how the runs ended."""
    restart_agent_unanswered(world, worker_id, index, meeting_time)
    world.crash_worker(world.workers[worker_id])
    world.advance(REPORT_TIME)
    return ends(world)


def ends(world: World) -> list[str]:
    """Return how the runs ended that the owner has logged."""
    return [fields["how"] for fields in records(world.entries, RUN_ENDED)]


def test_crash_counts_that_a_restarted_agent_reads_of_in_the_former_report():
    """Guard against crashes that aren't counted because the agent had just restarted.

    The agent's own lists and calls show no run, as it had none yet.
    """
    world, worker_id, index = world_with_run()
    assert crash_after_restart(world, worker_id, index) == [EndKind.CRASHED]


def test_crash_counts_after_a_second_restart_without_an_answer():
    """Guard against a first restart whose report hides what the worker ran."""
    world, worker_id, index = world_with_run(duration=30.0)
    restart_agent_unanswered(world, worker_id, index, MEETING_TIME + 1.0)
    assert crash_after_restart(world, worker_id, index) == [EndKind.CRASHED]


def test_crash_counts_if_the_connections_are_refused_before_the_report_is_read():
    """Guard against a run that is told as refused before there is any evidence."""
    world, worker_id, index = world_with_run()
    worker = world.workers[worker_id]
    world.kill_agent(index)
    worker.up = False
    world.advance(0.1)
    world.agents[worker.agent_id].post(WorkerAnnounced(info=worker.info()))
    world.advance(REPORT_TIME)
    assert ends(world) == [EndKind.CRASHED]


def test_run_that_was_only_ordered_is_no_crash():
    """Guard against a job that is given up for runs that no worker ever started."""
    world, worker_id, index = world_with_run(workers=1)
    world.agents[world.workers[worker_id].agent_id].alive = False
    world.submit(tasks(1))
    world.advance(0.5)
    assert crash_after_restart(world, worker_id, index) == [
        EndKind.CRASHED,
        EndKind.REFUSED,
    ]
    assert len(world.starts) == 1


@pytest.mark.parametrize(
    "damage",
    [
        {"runs": 7},
        {"runs": [{"task": "t"}]},
        {"runs": [{"task": ["t"], "run": "one"}], "ended": {}},
        {"info": {"incarnation": "another"}},
    ],
)
def test_unreadable_former_report_is_no_evidence(damage):
    """Guard against an agent that ends because another writer left an odd row."""
    world, worker_id, index = world_with_run()
    key = report_key(worker_id)
    agent = sorted(world.agents)[index]
    world.agents[agent].alive = False
    row: Row = world.store.rows[key]
    world.store.rows[key] = replace(row, value=row.value | damage)
    assert crash_after_restart(world, worker_id, index) == [EndKind.REFUSED]


def test_report_on_a_former_incarnation_is_no_evidence():
    """Guard against a crash that is counted for runs of a process that ended before."""
    world, worker_id, index = world_with_run()
    agent = sorted(world.agents)[index]
    world.agents[agent].alive = False
    key = report_key(worker_id)
    row: Row = world.store.rows[key]
    info = {**row.value["info"], "incarnation": "0"}
    world.store.rows[key] = replace(row, value=row.value | {"info": info})
    assert crash_after_restart(world, worker_id, index) == [EndKind.REFUSED]


def test_lists_of_a_former_lifetime_are_not_reported_as_new():
    """Guard against progress that seems to stand still while an agent is down."""
    world, worker_id, index = world_with_run()
    before = world.store.rows[report_key(worker_id)].value
    restart_agent_unanswered(world, worker_id, index)
    after = world.store.rows[report_key(worker_id)].value
    assert after["info"]["state"] == WorkerState.UNREACHABLE
    assert after["number"] > before["number"]
    assert (after["listing"], after["runs"]) == (before["listing"], before["runs"])
