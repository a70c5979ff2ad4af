"""Decide how an entry accepts, shows, lists and cancels jobs for its callers."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch

from .command import Command, ReadRows, Transact
from .error import UnhandledMessageError
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
from .message import Message
from .protocol import JobCancelled, JobSubmitted
from .store import (
    ABSENT,
    Committed,
    Condition,
    Conflicted,
    RowsUnavailable,
    StoreUnavailable,
    Transaction,
    Write,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class JobCall(Message):
    """Ask the register for something on behalf of a caller."""

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
class GuaranteeShown:
    """Hold whether a guaranteed shape can be met, and on which workers."""

    organisation: str
    shape: str
    workers: tuple[str, ...]
    met: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordsRead(Message):
    """Deliver the valid records in a reading."""

    read_id: str
    records: tuple[JobRecord, ...]
    guarantees: tuple[GuaranteeShown, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerCall(Command):
    """Give the caller the records, or the reason why there are none.

    Where the outcome is uncertain, the job may have been accepted or cancelled.
    """

    call_id: str
    records: tuple[JobRecord, ...] = ()
    guarantees: tuple[GuaranteeShown, ...] = ()
    found: bool = True
    failure: str = ""
    uncertain: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class TellOwner(Command):
    """Tell the owner of a shard about a new row; the owner lists rows anyway."""

    shard: str
    message: Message


@dataclass(slots=True)
class OpenCall:
    """Hold one call in progress and the records read so far."""

    call: JobCall
    live_read: bool = False
    records: tuple[JobRecord, ...] = ()
    guarantees: tuple[GuaranteeShown, ...] = ()


@dataclass(slots=True)
class JobRegister:
    """Own the calls in progress."""

    calls: dict[str, OpenCall] = field(default_factory=dict)


@singledispatch
def decide(message: Message, state: JobRegister, now: float) -> list[Command]:
    """Return the commands that a message to the register causes."""
    raise UnhandledMessageError(
        f"the job register does not take {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide.register
def _(message: SubmitJob, state: JobRegister, now: float) -> list[Command]:
    state.calls[message.call_id] = OpenCall(message)
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
def _(message: ShowJob | CancelJob, state: JobRegister, now: float) -> list[Command]:
    state.calls[message.call_id] = OpenCall(message)
    return [_read(message.call_id, job_key(shard_of(message.job_id), message.job_id))]


@decide.register(ListJobs)
@decide.register(ExplainOrganisation)
def _(
    message: ListJobs | ExplainOrganisation, state: JobRegister, now: float
) -> list[Command]:
    state.calls[message.call_id] = OpenCall(message)
    return [_read(message.call_id, job_prefix(message.shard))]


@decide.register
def _(message: RecordsRead, state: JobRegister, now: float) -> list[Command]:
    open_call = state.calls.get(message.read_id)
    if open_call is None:
        return []
    open_call.records += message.records
    open_call.guarantees += message.guarantees
    return follow_read(open_call.call, open_call, state)


@singledispatch
def follow_read(
    call: JobCall, open_call: OpenCall, state: JobRegister
) -> list[Command]:
    """Return what follows after the rows for a call were read."""
    return _answer(state, AnswerCall(call_id=call.call_id, found=False))


@follow_read.register
def _(call: SubmitJob, open_call: OpenCall, state: JobRegister) -> list[Command]:
    return _after_live(
        open_call, state, ended_key(call.record.shard, call.record.job_id)
    )


@follow_read.register
def _(call: ShowJob, open_call: OpenCall, state: JobRegister) -> list[Command]:
    return _after_live(open_call, state, ended_key(shard_of(call.job_id), call.job_id))


@follow_read.register
def _(call: CancelJob, open_call: OpenCall, state: JobRegister) -> list[Command]:
    shard = shard_of(call.job_id)
    if open_call.live_read or not open_call.records:
        return _after_live(open_call, state, ended_key(shard, call.job_id))
    write = Write(key=cancel_key(shard, call.job_id), value={"schema": 1})
    transaction = Transaction(operation_id=call.call_id, conditions=(), writes=(write,))
    return [Transact(transaction=transaction)]


@follow_read.register
def _(call: ListJobs, open_call: OpenCall, state: JobRegister) -> list[Command]:
    if not open_call.live_read:
        open_call.live_read = True
        return [_read(call.call_id, ended_prefix(call.shard))]
    answer = AnswerCall(call_id=call.call_id, records=open_call.records)
    return _answer(state, answer)


@follow_read.register
def _(
    call: ExplainOrganisation, open_call: OpenCall, state: JobRegister
) -> list[Command]:
    if not open_call.live_read:
        open_call.live_read = True
        return [_read(call.call_id, guarantee_key(call.shard))]
    answer = AnswerCall(
        call_id=call.call_id,
        records=open_call.records,
        guarantees=open_call.guarantees,
    )
    return _answer(state, answer)


@decide.register
def _(message: Committed, state: JobRegister, now: float) -> list[Command]:
    open_call = state.calls.get(message.operation_id)
    if open_call is None:
        return []
    return follow_commit(open_call.call, open_call, state)


@singledispatch
def follow_commit(
    call: JobCall, open_call: OpenCall, state: JobRegister
) -> list[Command]:
    """Return what follows after a call's row was written."""
    return []


@follow_commit.register
def _(call: SubmitJob, open_call: OpenCall, state: JobRegister) -> list[Command]:
    record = call.record
    told = JobSubmitted(shard=record.shard, job_id=record.job_id)
    answer = AnswerCall(call_id=call.call_id, records=(record,))
    return [TellOwner(shard=told.shard, message=told), *_answer(state, answer)]


@follow_commit.register
def _(call: CancelJob, open_call: OpenCall, state: JobRegister) -> list[Command]:
    told = JobCancelled(shard=shard_of(call.job_id), job_id=call.job_id)
    answer = AnswerCall(call_id=call.call_id, records=open_call.records)
    return [TellOwner(shard=told.shard, message=told), *_answer(state, answer)]


@decide.register
def _(message: Conflicted, state: JobRegister, now: float) -> list[Command]:
    open_call = state.calls.get(message.operation_id)
    if open_call is None or not isinstance(open_call.call, SubmitJob):
        return []
    # The same job was accepted before; the caller gets that one.
    record = open_call.call.record
    return [_read(message.operation_id, job_key(record.shard, record.job_id))]


@decide.register
def _(message: StoreUnavailable, state: JobRegister, now: float) -> list[Command]:
    return _answer(
        state,
        AnswerCall(
            call_id=message.operation_id,
            failure=message.reason,
            uncertain=message.uncertain,
        ),
    )


@decide.register
def _(message: RowsUnavailable, state: JobRegister, now: float) -> list[Command]:
    return _answer(state, AnswerCall(call_id=message.read_id, failure=message.reason))


def _after_live(open_call: OpenCall, state: JobRegister, ended: str) -> list[Command]:
    call_id = open_call.call.call_id
    if open_call.records:
        return _answer(state, AnswerCall(call_id=call_id, records=open_call.records))
    if open_call.live_read:
        return _answer(state, AnswerCall(call_id=call_id, found=False))
    # A job that ends moves its row; reading the ended jobs last misses none.
    open_call.live_read = True
    return [_read(call_id, ended)]


def _answer(state: JobRegister, answer: AnswerCall) -> list[Command]:
    if state.calls.pop(answer.call_id, None) is None:
        return []
    return [answer]


def _read(call_id: str, prefix: str) -> Command:
    return ReadRows(read_id=call_id, prefix=prefix)
