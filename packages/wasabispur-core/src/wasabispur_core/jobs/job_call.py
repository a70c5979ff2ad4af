"""Handle the calls that submit, show, list, explain and cancel jobs.

Any entry instance handles them by reading and writing rows of the table service. The
entry instance that owns the job's shard acts on the rows.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch

from ..command import Command, ReadRows, Transact
from ..error import UnhandledMessageError
from ..message import Message
from ..protocol import JobCancelled, JobSubmitted
from ..storage.store import (
    ABSENT,
    Committed,
    Condition,
    Conflicted,
    RowsUnavailable,
    StoreUnavailable,
    Transaction,
    Write,
)
from .job_record import (
    cancel_key,
    ended_key,
    ended_prefix,
    guarantee_key,
    job_key,
    job_prefix,
    JobRecord,
    shard_of,
    to_value,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class JobCall(Message):
    """Define the base class of a caller's requests about jobs."""

    call_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmitJob(JobCall):
    """Accept a job by writing its row."""

    record: JobRecord


@dataclass(frozen=True, slots=True, kw_only=True)
class ShowJob(JobCall):
    """Read a job."""

    job_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelJob(JobCall):
    """Cancel a job unless it has ended."""

    job_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ListJobs(JobCall):
    """Read the jobs of a shard."""

    shard: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainOrganisation(JobCall):
    """Read an organisation's jobs and the shard's guarantees."""

    shard: str


@dataclass(frozen=True, slots=True, kw_only=True)
class GuaranteeStatus:
    """Describe whether a guaranteed shape can be met, and on which workers."""

    organisation: str
    shape: str
    workers: tuple[str, ...]
    met: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordsRead(Message):
    """Deliver the valid records from a read of rows."""

    read_id: str
    records: tuple[JobRecord, ...]
    guarantees: tuple[GuaranteeStatus, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerCall(Command):
    """Send the caller the records, or the reason why the call failed.

    If uncertain is set, the job may have been accepted or cancelled all the same.
    """

    call_id: str
    records: tuple[JobRecord, ...] = ()
    guarantees: tuple[GuaranteeStatus, ...] = ()
    found: bool = True
    failure: str = ""
    uncertain: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class NotifyOwner(Command):
    """Notify the owner of a shard of a new row.

    If the notification is lost, the owner finds the row in its next periodic read.
    """

    shard: str
    message: Message


@dataclass(slots=True)
class PendingCall:
    """Represent one call in progress with the records read for it so far.

    active_rows_read is set once the rows of jobs that have not ended were read.
    """

    call: JobCall
    active_rows_read: bool = False
    records: tuple[JobRecord, ...] = ()
    guarantees: tuple[GuaranteeStatus, ...] = ()


@dataclass(slots=True)
class JobCallState:
    """Represent the calls in progress at one entry, by call id."""

    calls: dict[str, PendingCall] = field(default_factory=dict)


@singledispatch
def decide(message: Message, state: JobCallState, now: float) -> list[Command]:
    """Return the commands that a message to the job call component causes."""
    raise UnhandledMessageError(
        f"the job call component does not handle {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide.register
def _(message: SubmitJob, state: JobCallState, now: float) -> list[Command]:
    state.calls[message.call_id] = PendingCall(message)
    record = message.record
    key = job_key(record.shard, record.job_id)
    transaction = Transaction(
        operation_id=message.call_id,
        conditions=(
            Condition(key=key, version=ABSENT),
            Condition(key=ended_key(record.shard, record.job_id), version=ABSENT),
        ),
        writes=(Write(key=key, value=to_value(record)),),
    )
    return [Transact(transaction=transaction)]


@decide.register(ShowJob)
@decide.register(CancelJob)
def _(message: ShowJob | CancelJob, state: JobCallState, now: float) -> list[Command]:
    state.calls[message.call_id] = PendingCall(message)
    return [_read(message.call_id, job_key(shard_of(message.job_id), message.job_id))]


@decide.register(ListJobs)
@decide.register(ExplainOrganisation)
def _(
    message: ListJobs | ExplainOrganisation, state: JobCallState, now: float
) -> list[Command]:
    state.calls[message.call_id] = PendingCall(message)
    return [_read(message.call_id, job_prefix(message.shard))]


@decide.register
def _(message: RecordsRead, state: JobCallState, now: float) -> list[Command]:
    pending_call = state.calls.get(message.read_id)
    if pending_call is None:
        return []
    pending_call.records += message.records
    pending_call.guarantees += message.guarantees
    return continue_after_read(pending_call.call, pending_call, state)


@singledispatch
def continue_after_read(
    call: JobCall, pending_call: PendingCall, state: JobCallState
) -> list[Command]:
    """Return the next commands of a call after rows were read for it."""
    return _answer(state, AnswerCall(call_id=call.call_id, found=False))


@continue_after_read.register
def _(call: SubmitJob, pending_call: PendingCall, state: JobCallState) -> list[Command]:
    return _answer_or_read_ended(
        pending_call, state, ended_key(call.record.shard, call.record.job_id)
    )


@continue_after_read.register
def _(call: ShowJob, pending_call: PendingCall, state: JobCallState) -> list[Command]:
    return _answer_or_read_ended(
        pending_call, state, ended_key(shard_of(call.job_id), call.job_id)
    )


@continue_after_read.register
def _(call: CancelJob, pending_call: PendingCall, state: JobCallState) -> list[Command]:
    shard = shard_of(call.job_id)
    if pending_call.active_rows_read or not pending_call.records:
        return _answer_or_read_ended(pending_call, state, ended_key(shard, call.job_id))
    write = Write(key=cancel_key(shard, call.job_id), value={"schema": 1})
    transaction = Transaction(operation_id=call.call_id, conditions=(), writes=(write,))
    return [Transact(transaction=transaction)]


@continue_after_read.register
def _(call: ListJobs, pending_call: PendingCall, state: JobCallState) -> list[Command]:
    if not pending_call.active_rows_read:
        pending_call.active_rows_read = True
        return [_read(call.call_id, ended_prefix(call.shard))]
    answer = AnswerCall(call_id=call.call_id, records=pending_call.records)
    return _answer(state, answer)


@continue_after_read.register
def _(
    call: ExplainOrganisation, pending_call: PendingCall, state: JobCallState
) -> list[Command]:
    if not pending_call.active_rows_read:
        pending_call.active_rows_read = True
        return [_read(call.call_id, guarantee_key(call.shard))]
    answer = AnswerCall(
        call_id=call.call_id,
        records=pending_call.records,
        guarantees=pending_call.guarantees,
    )
    return _answer(state, answer)


@decide.register
def _(message: Committed, state: JobCallState, now: float) -> list[Command]:
    pending_call = state.calls.get(message.operation_id)
    if pending_call is None:
        return []
    return continue_after_commit(pending_call.call, pending_call, state)


@singledispatch
def continue_after_commit(
    call: JobCall, pending_call: PendingCall, state: JobCallState
) -> list[Command]:
    """Return the next commands of a call after its row was written."""
    return []


@continue_after_commit.register
def _(call: SubmitJob, pending_call: PendingCall, state: JobCallState) -> list[Command]:
    record = call.record
    notification = JobSubmitted(shard=record.shard, job_id=record.job_id)
    answer = AnswerCall(call_id=call.call_id, records=(record,))
    return [
        NotifyOwner(shard=notification.shard, message=notification),
        *_answer(state, answer),
    ]


@continue_after_commit.register
def _(call: CancelJob, pending_call: PendingCall, state: JobCallState) -> list[Command]:
    notification = JobCancelled(shard=shard_of(call.job_id), job_id=call.job_id)
    answer = AnswerCall(call_id=call.call_id, records=pending_call.records)
    return [
        NotifyOwner(shard=notification.shard, message=notification),
        *_answer(state, answer),
    ]


@decide.register
def _(message: Conflicted, state: JobCallState, now: float) -> list[Command]:
    pending_call = state.calls.get(message.operation_id)
    if pending_call is None or not isinstance(pending_call.call, SubmitJob):
        return []
    # The same submission was accepted before; the reply is the existing job.
    record = pending_call.call.record
    return [_read(message.operation_id, job_key(record.shard, record.job_id))]


@decide.register
def _(message: StoreUnavailable, state: JobCallState, now: float) -> list[Command]:
    return _answer(
        state,
        AnswerCall(
            call_id=message.operation_id,
            failure=message.reason,
            uncertain=message.uncertain,
        ),
    )


@decide.register
def _(message: RowsUnavailable, state: JobCallState, now: float) -> list[Command]:
    return _answer(state, AnswerCall(call_id=message.read_id, failure=message.reason))


def _answer_or_read_ended(
    pending_call: PendingCall, state: JobCallState, ended: str
) -> list[Command]:
    call_id = pending_call.call.call_id
    if pending_call.records:
        return _answer(state, AnswerCall(call_id=call_id, records=pending_call.records))
    if pending_call.active_rows_read:
        return _answer(state, AnswerCall(call_id=call_id, found=False))
    # The row moves when the job ends, so reading the ended jobs last can't miss it.
    pending_call.active_rows_read = True
    return [_read(call_id, ended)]


def _answer(state: JobCallState, answer: AnswerCall) -> list[Command]:
    if state.calls.pop(answer.call_id, None) is None:
        return []
    return [answer]


def _read(call_id: str, prefix: str) -> Command:
    return ReadRows(read_id=call_id, prefix=prefix)
