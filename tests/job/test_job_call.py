"""Test the replies to callers about their jobs."""

from __future__ import annotations

import pytest

from wasabispur_core.command import ReadRows, Transact
from wasabispur_core.jobs.job_call import (
    AnswerCall,
    CancelJob,
    decide,
    JobCallState,
    ListJobs,
    NotifyOwner,
    RecordsRead,
    ShowJob,
    SubmitJob,
)
from wasabispur_core.jobs.job_record import JobRecord, JobSpec, JobState
from wasabispur_core.storage.store import Committed, Conflicted, StoreUnavailable

SPEC = JobSpec(organisation="peachtree", work_class="urgent", command="{}")
JOB = JobRecord(job_id="dc1-a", shard="dc1", spec=SPEC)
ENDED = JobRecord(job_id="dc1-a", shard="dc1", spec=SPEC, state=JobState.COMPLETED)


def read(*records: JobRecord) -> RecordsRead:
    return RecordsRead(read_id="c", records=records)


def submit() -> JobCallState:
    state = JobCallState()
    (command,) = decide(SubmitJob(call_id="c", record=JOB), state, 0.0)
    assert isinstance(command, Transact)
    return state


def test_job_is_accepted_only_after_its_row_is_written():
    """Guard against a reply that accepts a job before its row is stored."""
    state = submit()
    committed = Committed(operation_id="c", versions={"job/dc1/dc1-a": 7})
    notification, answer = decide(committed, state, 0.0)
    assert isinstance(notification, NotifyOwner)
    assert answer == AnswerCall(call_id="c", records=(JOB,))
    assert not state.calls


@pytest.mark.parametrize("uncertain", [False, True])
def test_failed_write_is_reported_as_a_failure(uncertain):
    """Guard against an outage reported as an acceptance, or as a certain failure."""
    failed = StoreUnavailable(operation_id="c", reason="outage", uncertain=uncertain)
    (answer,) = decide(failed, submit(), 0.0)
    assert answer.failure == "outage"
    assert answer.uncertain is uncertain


@pytest.mark.parametrize("live", [True, False])
def test_repeated_submission_returns_the_first_job(live):
    """Guard against a second job for one idempotency key, also after the end."""
    state = submit()
    (command,) = decide(Conflicted(operation_id="c", keys=("k",)), state, 0.0)
    assert isinstance(command, ReadRows)
    if not live:
        (command,) = decide(read(), state, 0.0)
        assert command.prefix == "ended/dc1/dc1-a"
    record = JOB if live else ENDED
    assert decide(read(record), state, 0.0)[0].records == (record,)


@pytest.mark.parametrize("call", [ShowJob, CancelJob])
def test_unknown_job_is_reported_as_not_found(call):
    """Guard against an answer about a job that does not exist."""
    state = JobCallState()
    decide(call(call_id="c", job_id="dc1-a"), state, 0.0)
    decide(read(), state, 0.0)
    (answer,) = decide(read(), state, 0.0)
    assert not answer.found


def test_cancellation_is_written_to_a_separate_row():
    """Guard against an entry that writes a job row which only the owner may write."""
    state = JobCallState()
    decide(CancelJob(call_id="c", job_id="dc1-a"), state, 0.0)
    (command,) = decide(read(JOB), state, 0.0)
    (write,) = command.transaction.writes
    assert write.key == "job/dc1/dc1-a/cancel"


def test_ended_job_is_not_cancelled():
    """Guard against a cancellation row that no owner deletes."""
    state = JobCallState()
    decide(CancelJob(call_id="c", job_id="dc1-a"), state, 0.0)
    decide(read(), state, 0.0)
    assert decide(read(ENDED), state, 0.0)[0].records == (ENDED,)


def test_list_contains_waiting_and_ended_jobs():
    """Guard against a list without the jobs that ended."""
    state = JobCallState()
    decide(ListJobs(call_id="c", shard="dc1"), state, 0.0)
    (command,) = decide(read(JOB), state, 0.0)
    assert command.prefix == "ended/dc1/"
    assert decide(read(ENDED), state, 0.0)[0].records == (JOB, ENDED)
