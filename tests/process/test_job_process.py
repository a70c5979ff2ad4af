"""Test jobs on real processes that are killed or paused."""

from __future__ import annotations

import signal

import pytest

from .job_system import JobSystem, wait_for

TAKEOVER_TIMEOUT = 30.0
"""Seconds within which another entry has to own the shard; the lease takes 6 s."""

REPLACEMENT_TIMEOUT = 90.0
"""Seconds within which a gang has to run again after the loss of a worker."""


@pytest.fixture
def system(tmp_path):
    """Start two entries, two workers with agents and a table service."""
    jobs = JobSystem(tmp_path)
    try:
        jobs.start()
        yield jobs
    finally:
        jobs.close()


def test_job_completes_and_is_read_through_another_entry(system):
    """Guard against a job that one of the processes doesn't pass on."""
    job_id = system.submit("e0", 1.0, tasks=2, accelerators=4)
    system.wait_state("e1", job_id, "completed", 40)
    assert system.job("e1", job_id)["results"] == ["printed", "printed"]
    assert len(system.starts(job_id)) == 2


def test_owner_killed_during_placement_loses_and_repeats_no_task(system):
    """Guard against a job that is lost or run twice when the shard's owner crashes."""
    owner = wait_for(system.owner, 30, "an owner")
    other = "e1" if owner == "e0" else "e0"
    job_id = system.submit(other, 3.0, tasks=2, accelerators=4)
    wait_for(
        lambda: system.job(other, job_id).get("state") in ("placed", "running"),
        20,
        "the placement",
    )
    system.signal(owner, signal.SIGKILL)
    wait_for(lambda: system.owner() == other, TAKEOVER_TIMEOUT, "the takeover")
    system.wait_state(other, job_id, "completed", REPLACEMENT_TIMEOUT)
    started = system.starts(job_id)
    assert len(started) == len(set(started))
    assert system.owner() == other


def test_paused_owner_changes_nothing_after_the_takeover(system):
    """Guard against a resumed owner that acts on an expired lease."""
    owner = wait_for(system.owner, 30, "an owner")
    other = "e1" if owner == "e0" else "e0"
    job_id = system.submit(other, 30.0, tasks=2, accelerators=4)
    system.wait_state(other, job_id, "running", 30)
    system.signal(owner, signal.SIGSTOP)
    wait_for(lambda: system.owner() == other, TAKEOVER_TIMEOUT, "the takeover")
    system.signal(owner, signal.SIGCONT)
    system.wait_state(other, job_id, "completed", 60)
    assert len(system.starts(job_id)) == 2
    assert system.owner() == other


def test_paused_agent_leaves_no_second_run_behind(system):
    """Guard against two running tasks when an agent is paused beyond its lease."""
    job_id = system.submit("e0", 60.0, tasks=1, accelerators=4)
    system.wait_state("e0", job_id, "running", 30)
    worker = system.job("e0", job_id)["workers"][0]
    system.signal(worker, signal.SIGSTOP)
    wait_for(
        lambda: len(system.starts(job_id)) == 2, REPLACEMENT_TIMEOUT, "the second run"
    )
    assert len(system.running(job_id)) == 1
    system.signal(worker, signal.SIGCONT)
    wait_for(lambda: system.job("e0", job_id).get("state") == "running", 20, "the run")
    assert len(system.running(job_id)) == 1
    assert len(system.starts(job_id)) == 2


def test_work_that_finished_while_its_agent_was_down_is_not_run_again(system):
    """Guard against a restarted agent that takes a finished task for never started."""
    job_id = system.submit("e0", 4.0, tasks=1, accelerators=4)
    system.wait_state("e0", job_id, "running", 30)
    agent = system.job("e0", job_id)["workers"][0]
    system.signal(agent, signal.SIGKILL)
    system.processes[agent].wait(10)
    wait_for(lambda: not system.running(job_id), 20, "the end at the worker")
    system.start_agent(agent)
    system.wait_state("e0", job_id, "completed", 30)
    assert len(system.starts(job_id)) == 1


def test_gang_outlives_an_outage_of_the_table_service(system):
    """Guard against lost work when the table service is unavailable.

    The job has to end without a second start of its tasks.
    """
    job_id = system.submit("e0", 32.0, tasks=2, accelerators=4)
    system.wait_state("e0", job_id, "running", 30)
    system.set_faults(system.table, {"kind": "outage"})
    wait_for(lambda: not system.running(job_id), 60, "the end of the tasks")
    system.set_faults(system.table)
    system.wait_state("e0", job_id, "completed", 60)
    assert len(system.starts(job_id)) == 2
