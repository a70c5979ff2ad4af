"""Test the cancellation of a job whose submission got no answer.

A transaction without an answer may be applied seconds later (review/8, UNASKED).
"""

from __future__ import annotations

import pytest

from wasabispur_core.message import Message
from wasabispur_core.storage.store import ABSENT, Condition, Transaction, Write
from wasabispur_core.workload.intake.intake_message import AnswerCaller, CallOutcome
from wasabispur_core.workload.intake.tombstone_limit import ORGANISATION_BURST
from wasabispur_core.workload.jobs.progress import JobState
from wasabispur_core.workload.owner.pending_cancellation import (
    PendingCancellations,
    REMOVAL_INTERVAL,
    TOMBSTONE_RETENTION,
)
from wasabispur_core.workload.rows import cancel_key, job_key

from .world import COMPLETED, started_world, STORE_LATENCY, tasks, World

LATE_WRITE = 2.0
"""Seconds after which the simulated store applies a late transaction."""


def submit_without_answer(world: World, entry: int = 0, job_id: str = "") -> str:
    """Submit a job whose row is written late, and return its id."""
    world.store.losing = world.store.late = True
    job = world.submit(tasks(1), duration=1.0, entry=entry, job_id=job_id)
    world.advance(0.1)
    world.store.losing = world.store.late = False
    return job


def cancel(world: World, job_id: str, entry: int = 1, **fields: str) -> AnswerCaller:
    """Cancel a job and return the answer."""
    call_id = world.cancel(job_id, entry, **fields)
    world.advance(0.1)
    return world.answers[call_id]


def unknown_job(world: World) -> str:
    """Return the id of a job that is never submitted."""
    return f"{next(world.numbers):016x}"


def test_late_submission_does_not_undo_an_acknowledged_cancellation():
    """Guard against a run of a job whose cancellation was answered "no such job"."""
    world = started_world()
    job = submit_without_answer(world)
    assert cancel(world, job).outcome is CallOutcome.NO_JOB
    world.advance(LATE_WRITE + 3.0)
    assert world.starts == []
    assert world.state_of(job, 2).outcome is CallOutcome.NO_JOB


def test_late_submission_is_refused_after_both_entries_are_gone():
    """Guard against keeping a cancellation in the memory of an entry alone."""
    world = started_world()
    job = submit_without_answer(world, entry=0)
    assert cancel(world, job, entry=1).outcome is CallOutcome.NO_JOB
    for entry in range(3):
        world.kill_entry(entry)
    world.advance(LATE_WRITE + 8.0)
    assert world.owner() is not None
    assert world.starts == []
    assert job_key(job) not in world.store.rows


def test_repeated_submission_is_refused_after_the_cancellation():
    """Guard against a retry at another entry that revives a cancelled job."""
    world = started_world()
    job = submit_without_answer(world, entry=0)
    assert cancel(world, job).outcome is CallOutcome.NO_JOB
    world.submit(tasks(1), entry=2, job_id=job)
    world.advance(LATE_WRITE + 3.0)
    assert job in world.refused
    assert world.starts == []


def test_submission_in_progress_at_the_same_entry_is_cancelled():
    """Guard against a cancellation that overlooks a submission still under way."""
    world = started_world()
    world.transaction_time = 1.0
    job = world.submit(tasks(1), entry=1)
    world.advance(0.1)
    world.cancel(job, 1)
    world.advance(5.0)
    assert job in world.accepted
    assert job in world.cancelled
    assert world.state_of(job).job_state is JobState.CANCELLED


def test_job_written_between_read_and_write_is_cancelled():
    """Guard against "no such job" for a job that is stored at that moment."""
    world = started_world()
    job = submit_without_answer(world)
    calls: list[str] = []
    # The late write is applied after the row is read, and before the answer arrives.
    world.timers.subscribe(
        LATE_WRITE - 0.1 - STORE_LATENCY / 2,
        lambda _: calls.append(world.cancel(job, 1)),
        Message(),
    )
    world.advance(LATE_WRITE + 2.0)
    assert world.answers[calls[0]].outcome is CallOutcome.DONE
    assert world.state_of(job).job_state is JobState.CANCELLED


def test_late_cancellation_leaves_a_job_alone_that_was_submitted_since():
    """Guard against a lost cancellation that ends a job accepted after it."""
    world = started_world()
    job = unknown_job(world)
    world.store.losing = world.store.late = True
    call_id = world.cancel(job, 1)
    world.advance(0.1)
    world.store.losing = world.store.late = False
    world.submit(tasks(1), duration=4.0, job_id=job)
    world.advance(LATE_WRITE + 6.0)
    assert world.answers[call_id].outcome is CallOutcome.UNKNOWN
    assert world.state_of(job).job_state is COMPLETED


def test_second_cancellation_protects_as_long_as_the_first():
    """Guard against a tombstone that is removed soon after a repeated cancellation."""
    world = started_world()
    job = unknown_job(world)
    assert cancel(world, job).outcome is CallOutcome.NO_JOB
    world.advance(TOMBSTONE_RETENTION - 1.0)
    submit_without_answer(world, entry=0, job_id=job)
    assert cancel(world, job, entry=2).outcome is CallOutcome.NO_JOB
    world.advance(LATE_WRITE + 5.0)
    assert world.starts == []
    assert cancel_key(job) in world.store.rows


def test_tombstone_is_removed_after_its_retention():
    """Guard against rows and memory that grow with each unknown id."""
    world = started_world()
    jobs = [unknown_job(world) for _ in range(5)]
    for job in jobs:
        assert cancel(world, job).outcome is CallOutcome.NO_JOB
    world.advance(TOMBSTONE_RETENTION - 2.0)
    assert all(cancel_key(job) in world.store.rows for job in jobs)
    world.advance(4.0)
    assert not any(cancel_key(job) in world.store.rows for job in jobs)
    assert len(world.owner().fleet.pending_cancellations.by_job) == 0


def test_tombstone_is_removed_by_a_later_owner():
    """Guard against rows that stay if the owner changes, or forgets their removal."""
    world = started_world()
    job = unknown_job(world)
    assert cancel(world, job).outcome is CallOutcome.NO_JOB
    world.advance(TOMBSTONE_RETENTION / 2)
    world.kill_entry(world.entries.index(world.owner()))
    world.advance(10.0)
    assert cancel_key(job) in world.store.rows
    world.advance(TOMBSTONE_RETENTION)
    assert cancel_key(job) not in world.store.rows


def test_removal_that_is_lost_is_sent_again():
    """Guard against a row that stays because the answer of one write was lost."""
    world = started_world()
    job = unknown_job(world)
    assert cancel(world, job).outcome is CallOutcome.NO_JOB
    world.advance(TOMBSTONE_RETENTION - 1.0)
    world.store.down = True
    world.advance(3.0)
    world.clear_faults()
    world.advance(REMOVAL_INTERVAL + 8.0)
    assert cancel_key(job) not in world.store.rows


def test_orphaned_cancellation_of_a_removed_job_is_removed():
    """Guard against a row that outlives its job for good.

    The cancellation was written between the removal of the job's row and the answer.
    """
    world = started_world()
    job = unknown_job(world)
    key = cancel_key(job)
    world.store.apply(
        Transaction(
            operation_id="late",
            conditions=(Condition(key=key, version=ABSENT),),
            writes=(Write(key=key, value={"job_id": job}),),
        )
    )
    world.advance(TOMBSTONE_RETENTION + 3.0)
    assert key not in world.store.rows


def test_job_of_an_entry_of_a_former_version_is_cancelled():
    """Guard against a run if an entry still submits without regard to tombstones."""
    world = started_world()
    model = world.submit(tasks(1), duration=1.0)
    job = submit_without_answer(world)
    assert cancel(world, job).outcome is CallOutcome.NO_JOB
    key = job_key(job)
    value = world.store.rows[job_key(model)].value | {"job_id": job}
    world.store.apply(
        Transaction(
            operation_id="former version",
            conditions=(Condition(key=key, version=ABSENT),),
            writes=(Write(key=key, value=value),),
        )
    )
    world.advance(LATE_WRITE + 3.0)
    assert [task for _, task, _, _ in world.starts if task.startswith(job)] == []
    assert world.state_of(job).job_state is JobState.CANCELLED


@pytest.mark.parametrize("read_again", [True, False])
def test_removal_is_confirmed_by_a_complete_read(read_again):
    """Guard against memory that grows if the feed loses the removal of a row.

    Feeds read all rows again after a gap.
    """
    known = PendingCancellations()
    known.add("a", 7, now=0.0)
    assert len(known.remove_due(epoch=1, now=TOMBSTONE_RETENTION)) == 1
    if read_again:
        known.add("a", 7, now=TOMBSTONE_RETENTION + 1.0)
    known.drop_removed()
    assert ("a" in known.by_job) is read_again


def test_cancellations_of_unknown_jobs_are_limited():
    """Guard against a client that fills the store with cancellations of unknown ids.

    Another organisation, and jobs that exist, must not notice it.
    """
    world = started_world()
    job = world.submit(tasks(1), duration=60.0)
    world.advance(1.0)
    outcomes = [cancel(world, unknown_job(world)).outcome for _ in range(300)]
    rejected = outcomes.count(CallOutcome.UNAVAILABLE)
    assert outcomes.count(CallOutcome.NO_JOB) + rejected == 300
    assert outcomes.count(CallOutcome.NO_JOB) <= ORGANISATION_BURST + 300 * 0.1 + 1
    refused = cancel(world, unknown_job(world))
    assert refused.outcome is CallOutcome.UNAVAILABLE
    assert "unknown jobs" in refused.reason
    assert 0.0 < refused.retry_after <= 60.0
    other = cancel(world, unknown_job(world), organisation="prairie")
    assert other.outcome is CallOutcome.NO_JOB
    assert cancel(world, job).outcome is CallOutcome.DONE


@pytest.mark.parametrize("known", [True, False])
def test_cancellation_costs_two_store_calls(known):
    """Guard against further store calls, which would delay callers whose job exists."""
    world = started_world()
    job = world.submit(tasks(1), duration=60.0) if known else unknown_job(world)
    world.advance(2.0)
    before = world.intake_calls
    cancel(world, job)
    assert world.intake_calls - before == 2


@pytest.mark.parametrize("suffix", [".cancel", "/1", "x" * 300])
def test_name_that_no_job_can_have_is_unknown(suffix):
    """Guard against showing or writing the rows of something else.

    The name of a job and ".cancel" is that of its cancellation.
    """
    world = started_world()
    job = unknown_job(world)
    assert cancel(world, job).outcome is CallOutcome.NO_JOB
    before = world.intake_calls
    assert cancel(world, job + suffix).outcome is CallOutcome.NO_JOB
    assert world.state_of(job + suffix).outcome is CallOutcome.NO_JOB
    assert world.intake_calls == before
