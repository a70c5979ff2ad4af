"""Reject a job for which the fleet has no room, unless it was accepted before.

The actions and guards belong to the state chart submission_check. A caller that got no
answer may try again at another entry instance, so the table service is asked first.
"""

from __future__ import annotations

from ...action import holds, perform
from ...chart import Chart, ChartCatalogue
from ...command import Command, WriteLog
from ...log_event import JOB_REFUSED
from ..admission.admission import Candidate, find_rejection, Rejection
from ..admission.load_knowledge import LoadNeeded
from .call_chart import bind_call
from .intake_action import CallAction, CallGuard
from .intake_message import AnswerCaller, CallOutcome, SubmitJob
from .intake_state import IntakeState, PendingCall
from .submission import write_job

SUBMISSION_CHECK = "submission_check"


class WriteJob(CallAction):
    """Write the row of the job."""

    __slots__ = ()


class AnswerOverloaded(CallAction):
    """Answer that the job was not accepted, and when there may be room."""

    __slots__ = ()


class MayBeWritten(CallGuard):
    """Hold if this entry may have written, or may be writing, the job's row."""

    __slots__ = ()


def submission_check_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the chart of a submission for which there may be no room."""
    return bind_call(catalogue, SUBMISSION_CHECK)


def check_load(
    call: PendingCall, message: SubmitJob, state: IntakeState, now: float
) -> list[Command]:
    """Note in the call why the load rejects its job, if it does."""
    knowledge = state.load
    if knowledge is None:
        return []
    commands = knowledge.follow(LoadNeeded(), now)
    if not knowledge.known or _may_be_written(call, state):
        return commands
    candidate = Candidate(
        job_id=call.job_id,
        queue=call.queue.name,
        organisation=call.organisation,
        terms=call.queue.terms,
        steps=message.steps,
        guaranteed=state.policy.guaranteed_accelerators(call.organisation),
        delayed=bool(message.repeats),
    )
    call.rejection = find_rejection(candidate, knowledge.load, knowledge.age(now))
    return commands


def _may_be_written(call: PendingCall, state: IntakeState) -> bool:
    others = (one for one in state.calls.values() if one is not call)
    return call.job_id in state.uncertain or any(
        one.job_id == call.job_id and isinstance(one.request, SubmitJob)
        for one in others
    )


@holds.register
def _(guard: MayBeWritten) -> bool:
    return _may_be_written(guard.subject, guard.state)


@perform.register
def _(action: WriteJob) -> list[Command]:
    call = action.subject
    if not isinstance(call.request, SubmitJob):
        return []
    return [write_job(call, call.request, action.state, action.now)]


@perform.register
def _(action: AnswerOverloaded) -> list[Command]:
    call = action.subject
    rejection = call.rejection
    if rejection is None:
        return []
    reason = (
        f"overload: expected to end in {rejection.ends_in:.1f} s or later, without value"
        f" after {rejection.worthless_in:.1f} s"
    )
    fields = {
        "job": call.job_id,
        "queue": call.queue.name,
        "organisation": call.organisation,
        "reason": reason,
        **_figures(rejection),
    }
    answer = AnswerCaller(
        call_id=call.request.call_id,
        outcome=CallOutcome.NOT_ACCEPTED,
        reason=reason,
        retry_after=rejection.retry_after,
    )
    return [WriteLog(number=JOB_REFUSED.number, fields=fields), answer]


def _figures(rejection: Rejection) -> dict[str, object]:
    """Return the log fields with the figures of a rejection."""
    return {
        "cause": rejection.cause,
        "ends_in": round(rejection.ends_in, 1),
        "worthless_in": round(rejection.worthless_in, 1),
        "drained_in": round(rejection.drained_in, 1),
        "own": round(rejection.own, 1),
        "share": round(rejection.share, 3),
        "load_age": round(rejection.load_age, 3),
        "retry_after": round(rejection.retry_after, 1),
    }
