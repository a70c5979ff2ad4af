"""Handle callers' requests to submit, cancel or look up a job.

Every entry instance (front-end process) runs an intake. It admits or refuses a request
by the operators' configuration of queues and organisations. For an admitted request it
reads or writes rows of the table service and answers the caller; the state chart of the
request decides what follows each of the table service's answers. The entry instance
that owns the shard schedules the accepted jobs.
"""

from __future__ import annotations

from functools import singledispatch
from math import inf

from ...command import Command, WriteLog
from ...error import UnhandledMessageError
from ...log_event import CORDONS_READ, JOB_REFUSED, POLICY_IN_FORCE
from ...message import Message
from ...storage.store import RowsRead, RowsUnavailable, StoreResult, text_size
from ..admission.load_knowledge import LoadArrived, LoadUnreadable
from ..jobs.spec import JOB_ID_PATTERN, LASTING_TASKS_LIMIT, PAYLOAD_LIMIT_BYTES
from ..owner.fleet_message import ClocksRead
from ..policies.cordon import CordonsChanged
from ..policies.policy import PolicyChanged, PolicyHealth, Queue
from ..rows import job_key, progress_key, queue_counts_key
from .intake_action import read_rows
from .intake_message import (
    AnswerCaller,
    CallOutcome,
    CancelJob,
    IntakeRequest,
    ReadJob,
    SubmitJob,
)
from .intake_state import IntakeState, PendingCall
from .submission import write_job
from .submission_check import check_load, SUBMISSION_CHECK

POLICY_AGE_LIMIT = 5.0
"""Seconds for which an unconfirmed configuration still admits callers."""

PENDING_CALL_LIMIT = 500
"""Largest number of requests in progress at one entry instance."""

OVERLOADED_RETRY_AFTER = 1.0
NO_POLICY_RETRY_AFTER = 1.0
UNSUPPORTED_RETRY_AFTER = 30.0
"""Seconds after which a refused caller may retry, by cause."""


@singledispatch
def decide(message: Message, state: IntakeState, now: float) -> list[Command]:
    """Update the intake's state for a message and return the resulting commands."""
    raise UnhandledMessageError(
        f"the intake does not handle {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide.register
def _(message: PolicyChanged, state: IntakeState, now: float) -> list[Command]:
    if message.policy.version <= state.policy.version:
        return []
    state.policy = message.policy
    state.tombstones.keep_organisations(message.policy.organisations)
    fields = {"version": message.policy.version, "queues": len(message.policy.queues)}
    return [WriteLog(number=POLICY_IN_FORCE.number, fields=fields)]


@decide.register
def _(message: CordonsChanged, state: IntakeState, now: float) -> list[Command]:
    # Jobs are accepted and wait, since only the owner knows which workers are left.
    if message.data_centres == state.cordoned:
        return []
    state.cordoned = message.data_centres
    fields = {"data_centres": sorted(message.data_centres)}
    return [WriteLog(number=CORDONS_READ.number, fields=fields)]


@decide.register
def _(message: PolicyHealth, state: IntakeState, now: float) -> list[Command]:
    if message.confirmed:
        state.policy_lost_at = inf
    else:
        state.policy_lost_at = min(state.policy_lost_at, now)
    return []


@decide.register
def _(message: ClocksRead, state: IntakeState, now: float) -> list[Command]:
    state.store_offset = message.store_time - now
    return []


@decide.register(LoadArrived)
@decide.register(LoadUnreadable)
def _(
    message: LoadArrived | LoadUnreadable, state: IntakeState, now: float
) -> list[Command]:
    return [] if state.load is None else state.load.follow(message, now)


@decide.register
def _(message: IntakeRequest, state: IntakeState, now: float) -> list[Command]:
    admitted = _admit(message, state, now)
    if isinstance(admitted, AnswerCaller):
        return _refuse(message, admitted)
    return start_call(message, admitted, state, now)


@decide.register(StoreResult)
def _(message: StoreResult, state: IntakeState, now: float) -> list[Command]:
    return _advance_call(message.operation_id, message, state, now)


@decide.register(RowsRead)
@decide.register(RowsUnavailable)
def _(
    message: RowsRead | RowsUnavailable, state: IntakeState, now: float
) -> list[Command]:
    return _advance_call(message.read_id, message, state, now)


@singledispatch
def start_call(
    message: IntakeRequest, queue: Queue, state: IntakeState, now: float
) -> list[Command]:
    """Start an admitted request and return its first reads or write."""
    raise UnhandledMessageError(
        f"the intake does not handle {type(message).__name__}",
        "register a function for it with start_call.register",
    )


@start_call.register
def _(
    message: SubmitJob, queue: Queue, state: IntakeState, now: float
) -> list[Command]:
    call = _open_call("submission", message, queue, state)
    commands = check_load(call, message, state, now)
    if call.rejection is None:
        return [*commands, write_job(call, message, state, now)]
    call.lifecycle = state.charts[SUBMISSION_CHECK].start()
    return [*commands, *read_rows(call, state, job_key(call.job_id))]


@start_call.register
def _(
    message: CancelJob, queue: Queue, state: IntakeState, now: float
) -> list[Command]:
    if not _names_job(message, queue):
        return [_no_job(message)]
    call = _open_call("cancellation", message, queue, state)
    return read_rows(call, state, job_key(call.job_id))


@start_call.register
def _(message: ReadJob, queue: Queue, state: IntakeState, now: float) -> list[Command]:
    if message.path == queue.prefix:
        call = _open_call("queue_lookup", message, queue, state)
        return read_rows(call, state, queue_counts_key())
    if not _names_job(message, queue):
        return [_no_job(message)]
    call = _open_call("job_lookup", message, queue, state)
    return read_rows(call, state, job_key(call.job_id), progress_key(call.job_id))


def _admit(
    message: IntakeRequest, state: IntakeState, now: float
) -> Queue | AnswerCaller:
    """Return the request's queue, or the answer that refuses the request."""
    policy = state.policy

    def refused(outcome: CallOutcome, reason: str, retry: float = 0.0) -> AnswerCaller:
        return AnswerCaller(
            call_id=message.call_id, outcome=outcome, reason=reason, retry_after=retry
        )

    if not policy.version:
        return refused(
            CallOutcome.NOT_ACCEPTED, "no configuration yet", NO_POLICY_RETRY_AFTER
        )
    if now - state.policy_lost_at > POLICY_AGE_LIMIT:
        # A later version may have withdrawn the caller's key or the queue.
        return refused(
            CallOutcome.NOT_ACCEPTED,
            "the configuration may be out of date",
            NO_POLICY_RETRY_AFTER,
        )
    queue = policy.queue_for(message.host, message.path)
    if queue is None:
        return refused(CallOutcome.NO_QUEUE, "no queue has this host and prefix")
    if not queue.anonymous and message.key_digest not in policy.keys:
        return refused(CallOutcome.NO_KEY, "send the key of an organisation")
    problem = job_problem(message, queue) if isinstance(message, SubmitJob) else ""
    if problem:
        return refused(CallOutcome.INVALID, problem)
    if len(state.calls) >= PENDING_CALL_LIMIT:
        return refused(
            CallOutcome.NOT_ACCEPTED,
            "too many requests in progress",
            OVERLOADED_RETRY_AFTER,
        )
    # A queue can be configured with advice, which is not supported, so that submissions
    # to it are refused.
    if queue.needs_advice and isinstance(message, SubmitJob):
        return refused(
            CallOutcome.NOT_ACCEPTED,
            "queues with advice: unsupported",
            UNSUPPORTED_RETRY_AFTER,
        )
    return queue


def job_problem(message: SubmitJob, queue: Queue) -> str:
    """Return why a job can never be carried out, or an empty string."""
    if not _names_job(message, queue):
        return "the job's id is not valid; use up to 32 letters and digits"
    if text_size(message.payload) > PAYLOAD_LIMIT_BYTES:
        return f"the payload exceeds {PAYLOAD_LIMIT_BYTES} bytes; shorten it"
    for number, step in enumerate(message.steps):
        if any(earlier >= number for earlier in step.after):
            return f"step {number} waits for a step that is not before it; reorder them"
    lasting = sum(step.count for step in message.steps if step.long_running)
    if lasting * max(message.repeats, 1) > LASTING_TASKS_LIMIT:
        return f"more than {LASTING_TASKS_LIMIT} lasting tasks; submit several jobs"
    return ""


def _names_job(message: IntakeRequest, queue: Queue) -> bool:
    """Return whether the path names a job that can exist.

    The rows of other names may be those of something else, such as a cancellation.
    """
    job_id = message.path.removeprefix(queue.prefix)
    return JOB_ID_PATTERN.fullmatch(job_id) is not None


def _no_job(message: IntakeRequest) -> AnswerCaller:
    return AnswerCaller(call_id=message.call_id, outcome=CallOutcome.NO_JOB)


def _open_call(
    chart: str, message: IntakeRequest, queue: Queue, state: IntakeState
) -> PendingCall:
    call = state.calls[message.call_id] = PendingCall(
        request=message,
        queue=queue,
        organisation=state.policy.keys.get(message.key_digest, ""),
        job_id=message.path.removeprefix(queue.prefix),
        lifecycle=state.charts[chart].start(),
    )
    return call


def _advance_call(
    operation: str, message: Message, state: IntakeState, now: float
) -> list[Command]:
    call = state.calls.get(state.operations.pop(operation, ""))
    if call is None:
        return []
    commands = call.lifecycle.handle(message, state, call, now)
    if call.lifecycle.final:
        state.calls.pop(call.request.call_id, None)
    return commands


def _refuse(message: IntakeRequest, answer: AnswerCaller) -> list[Command]:
    fields = {
        "job": message.path,
        "organisation": "",
        "reason": f"{answer.outcome.value}: {answer.reason}",
        "request": type(message).__name__,
    }
    return [WriteLog(number=JOB_REFUSED.number, fields=fields), answer]
