"""Define the actions and guards of the state charts of callers' requests.

The intake of an entry instance interprets one chart for each request in progress:
submission, cancellation, job_lookup or queue_lookup. An action's subject is the
PendingCall, and its state the IntakeState.
"""

from __future__ import annotations

from functools import singledispatch

from returns.result import Failure, Result, Success

from ...action import Action, Guard, holds, perform
from ...command import Command, ReadRows, WriteLog
from ...log_event import (
    CALL_UNANSWERED,
    JOB_ACCEPTED,
    JOB_REFUSED,
    JOB_UNCERTAIN,
)
from ...message import Message
from ...storage.store import (
    Conflicted,
    Row,
    RowsRead,
    RowsUnavailable,
    StoreUnavailable,
)
from ..jobs.progress import JobProgress, JobState
from ..rows import job_key, progress_key, queue_counts_key, unpack
from .intake_message import AnswerCaller, CallOutcome
from .intake_state import IntakeState, PendingCall

UNCERTAIN_LIMIT = 1_000
"""Largest number of jobs of unknown acceptance that an entry instance remembers."""

STORE_DOWN_RETRY_AFTER = 1.0
UNCERTAIN_RETRY_AFTER = 1.0
"""Seconds after which a caller may retry, by the state of the table service."""


class CallAction(Action[IntakeState, PendingCall]):
    """Define the base of the actions in the charts of callers' requests."""

    __slots__ = ()


class CallGuard(Guard[IntakeState, PendingCall]):
    """Define the base of the guards in the charts of callers' requests."""

    __slots__ = ()


class AnswerAccepted(CallAction):
    """Answer that the job is accepted."""

    __slots__ = ()


class AnswerNotAccepted(CallAction):
    """Answer that the job was not accepted and never runs.

    The answer states whether the same job can be accepted later.
    """

    __slots__ = ()


class AnswerUncertain(CallAction):
    """Answer that the outcome of the caller's write is unknown, and record the job."""

    __slots__ = ()


class CollectRows(CallAction):
    """Collect the rows of one read until all reads are complete."""

    __slots__ = ()


class AnswerState(CallAction):
    """Answer with the job's state."""

    __slots__ = ()


class AnswerQueueLength(CallAction):
    """Answer with the number of waiting jobs of the queue."""

    __slots__ = ()


class AnswerNoJob(CallAction):
    """Answer that no such job exists."""

    __slots__ = ()


class AnswerUnavailable(CallAction):
    """Answer that the job's rows can't be read."""

    __slots__ = ()


class Uncertain(CallGuard):
    """Hold if this or an earlier write of the job may have taken effect."""

    __slots__ = ()


class AllRead(CallGuard):
    """Hold if no read of the request is in flight any more."""

    __slots__ = ()


class JobFound(CallGuard):
    """Hold if the job's row is among the rows that were read."""

    __slots__ = ()


def read_rows(call: PendingCall, state: IntakeState, *keys: str) -> list[Command]:
    """Return the commands that read the rows whose keys begin with the given ones."""
    commands: list[Command] = []
    for key in keys:
        read_id = f"{call.request.call_id}:{key}"
        state.operations[read_id] = call.request.call_id
        call.rows_by_key.setdefault(key, ())
        commands.append(ReadRows(read_id=read_id, prefix=key))
    return commands


def find_row(call: PendingCall, key: str) -> Row | None:
    """Return the row with the key, which a read by a prefix of it may have found."""
    rows = (row for found in call.rows_by_key.values() for row in found)
    return next((row for row in rows if row.key == key), None)


def _requested_key(message: Message) -> str:
    read_id = message.read_id if isinstance(message, RowsRead) else ""
    return read_id.partition(":")[2]


@holds.register
def _(guard: Uncertain) -> bool:
    message = guard.message
    lost = isinstance(message, StoreUnavailable) and message.uncertain
    return lost or guard.subject.job_id in guard.state.uncertain


@holds.register
def _(guard: AllRead) -> bool:
    waiting = set(guard.state.operations)
    call_id = guard.subject.request.call_id
    return not any(f"{call_id}:{key}" in waiting for key in guard.subject.rows_by_key)


@holds.register
def _(guard: JobFound) -> bool:
    call, message = guard.subject, guard.message
    key = job_key(call.job_id)
    arrived = message.rows if isinstance(message, RowsRead) else ()
    return any(row.key == key for row in (*arrived, *call.rows_by_key.get(key, ())))


@perform.register
def _(action: AnswerAccepted) -> list[Command]:
    call = action.subject
    action.state.uncertain.pop(call.job_id, None)
    fields = job_fields(call) | {
        "repeated": isinstance(action.message, Conflicted),
        "policy": action.state.policy.version,
    }
    return [
        WriteLog(number=JOB_ACCEPTED.number, fields=fields),
        AnswerCaller(call_id=call.request.call_id, outcome=CallOutcome.DONE),
    ]


@perform.register
def _(action: AnswerNotAccepted) -> list[Command]:
    call = action.subject
    message = action.message
    reason = _reason(message)
    permanent = isinstance(message, StoreUnavailable) and message.permanent
    answer = AnswerCaller(
        call_id=call.request.call_id,
        outcome=CallOutcome.INVALID if permanent else CallOutcome.NOT_ACCEPTED,
        reason=reason,
        retry_after=0.0 if permanent else STORE_DOWN_RETRY_AFTER,
    )
    fields = job_fields(call) | {"reason": reason}
    return [WriteLog(number=JOB_REFUSED.number, fields=fields), answer]


@perform.register
def _(action: AnswerUncertain) -> list[Command]:
    call, uncertain = action.subject, action.state.uncertain
    uncertain[call.job_id] = None
    if len(uncertain) > UNCERTAIN_LIMIT:
        del uncertain[next(iter(uncertain))]
    reason = _reason(action.message)
    answer = AnswerCaller(
        call_id=call.request.call_id,
        outcome=CallOutcome.UNKNOWN,
        reason=reason,
        retry_after=UNCERTAIN_RETRY_AFTER,
    )
    fields = job_fields(call) | {"reason": reason}
    return [WriteLog(number=JOB_UNCERTAIN.number, fields=fields), answer]


@perform.register
def _(action: CollectRows) -> list[Command]:
    if isinstance(action.message, RowsRead):
        action.subject.rows_by_key[_requested_key(action.message)] = action.message.rows
    return []


@perform.register
def _(action: AnswerState) -> list[Command]:
    call = action.subject
    row = find_row(call, progress_key(call.job_id))
    progress: Result[JobProgress, Exception] = Success(JobProgress())
    if row is not None:
        progress = unpack(JobProgress, row.value)
    if isinstance(progress, Failure):
        return answer_unavailable(call, str(progress.failure()))
    job_state: JobState = progress.unwrap().state
    return [
        AnswerCaller(
            call_id=call.request.call_id, outcome=CallOutcome.DONE, job_state=job_state
        )
    ]


@perform.register
def _(action: AnswerQueueLength) -> list[Command]:
    call = action.subject
    row = find_row(call, queue_counts_key())
    waiting = row.value.get(call.queue.name, 0) if row else 0
    return [
        AnswerCaller(
            call_id=call.request.call_id, outcome=CallOutcome.DONE, waiting=int(waiting)
        )
    ]


@perform.register
def _(action: AnswerNoJob) -> list[Command]:
    call = action.subject
    return [AnswerCaller(call_id=call.request.call_id, outcome=CallOutcome.NO_JOB)]


@perform.register
def _(action: AnswerUnavailable) -> list[Command]:
    return answer_unavailable(action.subject, _reason(action.message))


def answer_unavailable(
    call: PendingCall, reason: str, retry_after: float = STORE_DOWN_RETRY_AFTER
) -> list[Command]:
    """Return the commands that answer that the request can't be served now.

    retry_after is in seconds.
    """
    answer = AnswerCaller(
        call_id=call.request.call_id,
        outcome=CallOutcome.UNAVAILABLE,
        reason=reason,
        retry_after=retry_after,
    )
    fields = job_fields(call) | {
        "request": type(call.request).__name__,
        "reason": reason,
    }
    return [WriteLog(number=CALL_UNANSWERED.number, fields=fields), answer]


def job_fields(call: PendingCall) -> dict[str, str]:
    """Return the log fields that name the job of a request."""
    return {
        "job": call.job_id,
        "queue": call.queue.name,
        "organisation": call.organisation,
    }


@singledispatch
def _reason(message: Message) -> str:
    return ""


@_reason.register(StoreUnavailable)
@_reason.register(RowsUnavailable)
def _(message: StoreUnavailable | RowsUnavailable) -> str:
    return message.reason
