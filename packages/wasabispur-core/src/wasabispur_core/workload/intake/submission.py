"""Write the row of a submitted job, and answer if the job was cancelled before."""

from __future__ import annotations

from ...action import holds, perform
from ...command import Command, WriteLog
from ...log_event import JOB_REFUSED
from ...storage.store import ABSENT, Condition, Conflicted, Write
from ..jobs.spec import JobSpec
from ..owner.pending_cancellation import TOMBSTONE_RETENTION
from ..rows import cancel_key, job_key, pack
from .intake_action import CallAction, CallGuard, job_fields
from .intake_message import AnswerCaller, CallOutcome, SubmitJob
from .intake_state import conditional_write, IntakeState, PendingCall


class AnswerCancelledBefore(CallAction):
    """Answer that the job is not accepted, as its id was cancelled before."""

    __slots__ = ()


class CancelledBefore(CallGuard):
    """Hold if a cancellation, and no row of the job, kept the job from being stored."""

    __slots__ = ()


@holds.register
def _(guard: CancelledBefore) -> bool:
    message = guard.message
    job_id = guard.subject.job_id
    return isinstance(message, Conflicted) and message.keys == (cancel_key(job_id),)


@perform.register
def _(action: AnswerCancelledBefore) -> list[Command]:
    call = action.subject
    action.state.uncertain.pop(call.job_id, None)
    reason = "the job was cancelled; use another id"
    answer = AnswerCaller(
        call_id=call.request.call_id,
        outcome=CallOutcome.NOT_ACCEPTED,
        reason=reason,
        retry_after=TOMBSTONE_RETENTION,
    )
    fields = job_fields(call) | {"reason": reason}
    return [WriteLog(number=JOB_REFUSED.number, fields=fields), answer]


def write_job(
    call: PendingCall, message: SubmitJob, state: IntakeState, now: float
) -> Command:
    """Return the command that writes the job's row.

    It has no effect if the job has a row, or was cancelled while it had none.
    """
    spec = JobSpec(
        job_id=call.job_id,
        queue=call.queue.name,
        organisation=call.organisation,
        payload=message.payload,
        steps=message.steps,
        accepted_at=now + state.store_offset,
        repeats=message.repeats,
        repeat_interval=message.repeat_interval,
        start_at=message.start_at,
        terms=call.queue.terms,
    )
    key = job_key(call.job_id)
    return conditional_write(
        call,
        state,
        (
            Condition(key=key, version=ABSENT),
            Condition(key=cancel_key(call.job_id), version=ABSENT),
        ),
        Write(key=key, value=pack(spec)),
    )
