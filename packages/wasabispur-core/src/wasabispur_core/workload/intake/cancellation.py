"""Define the actions and guards of a cancellation, and write its row.

A submission that got no answer may take effect seconds after its caller has cancelled
the job. The cancellation of a job without a row therefore writes its row all the same:
a tombstone, on whose absence each submission depends. Only then is the caller told that
there is no such job.
"""

from __future__ import annotations

from ...action import holds, perform
from ...command import Command, WriteLog
from ...log_event import CANCELLATION_ANSWERED
from ...storage.store import ABSENT, Condition, Write
from ..rows import cancel_key, job_key
from .intake_action import (
    answer_unavailable,
    CallAction,
    CallGuard,
    find_row,
    job_fields,
    read_rows,
)
from .intake_message import AnswerCaller, CallOutcome
from .intake_state import conditional_write, PendingCall


class ReadJobRows(CallAction):
    """Read the rows of the job and of its cancellation."""

    __slots__ = ()


class WriteCancellation(CallAction):
    """Write the row that cancels the job."""

    __slots__ = ()


class WriteTombstone(CallAction):
    """Write or renew the cancellation row of a job that has no row."""

    __slots__ = ()


class AnswerCancelled(CallAction):
    """Answer that the job is cancelled."""

    __slots__ = ()


class AnswerNeverRuns(CallAction):
    """Answer that no such job exists, and that no earlier submission creates it."""

    __slots__ = ()


class AnswerTooMany(CallAction):
    """Answer that too many unknown jobs were cancelled, and when to retry."""

    __slots__ = ()


class TombstoneAllowed(CallGuard):
    """Hold if the limit of cancellations of unknown jobs allows another one."""

    __slots__ = ()


@holds.register
def _(guard: TombstoneAllowed) -> bool:
    return guard.state.tombstones.allows(guard.subject.organisation, guard.now)


@perform.register
def _(action: ReadJobRows) -> list[Command]:
    call = action.subject
    return read_rows(call, action.state, job_key(call.job_id))


@perform.register
def _(action: WriteCancellation) -> list[Command]:
    call = action.subject
    absent = Condition(key=cancel_key(call.job_id), version=ABSENT)
    return [conditional_write(call, action.state, (absent,), _cancellation_of(call))]


@perform.register
def _(action: WriteTombstone) -> list[Command]:
    call, state = action.subject, action.state
    state.tombstones.count(call.organisation, action.now)
    present = find_row(call, cancel_key(call.job_id))
    conditions = (
        Condition(key=job_key(call.job_id), version=ABSENT),
        Condition(
            key=cancel_key(call.job_id), version=present.version if present else ABSENT
        ),
    )
    return [conditional_write(call, state, conditions, _cancellation_of(call))]


@perform.register
def _(action: AnswerCancelled) -> list[Command]:
    return _answer(action.subject, CallOutcome.DONE, "cancelled")


@perform.register
def _(action: AnswerNeverRuns) -> list[Command]:
    return _answer(action.subject, CallOutcome.NO_JOB, "no such job; it never runs")


@perform.register
def _(action: AnswerTooMany) -> list[Command]:
    call, tombstones = action.subject, action.state.tombstones
    delay = tombstones.delay(call.organisation, action.now)
    reason = "too many cancellations of unknown jobs; retry later"
    return answer_unavailable(call, reason, delay)


def _cancellation_of(call: PendingCall) -> Write:
    return Write(key=cancel_key(call.job_id), value={"job_id": call.job_id})


def _answer(call: PendingCall, outcome: CallOutcome, result: str) -> list[Command]:
    fields = job_fields(call) | {"result": result}
    return [
        WriteLog(number=CANCELLATION_ANSWERED.number, fields=fields),
        AnswerCaller(call_id=call.request.call_id, outcome=outcome),
    ]
