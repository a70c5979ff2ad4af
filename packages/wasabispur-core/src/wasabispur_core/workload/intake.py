"""Decide, at any entry, on callers' requests about jobs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch

from returns.result import Failure, Result, Success

from ..action import Action, Guard, holds, perform
from ..chart import Chart, ChartCatalogue, Lifecycle
from ..command import Command, ReadRows, Transact, WriteLog
from ..error import UnhandledMessageError
from ..log_event import (
    CANCEL_ANSWERED,
    JOB_ACCEPTED,
    JOB_REFUSED,
    JOB_UNCERTAIN,
    POLICY_IN_FORCE,
)
from ..message import Message
from ..store import (
    ABSENT,
    Condition,
    Conflicted,
    Row,
    RowsRead,
    RowsUnavailable,
    StoreResult,
    StoreUnavailable,
    Transaction,
    Write,
)
from .fleet_state import ClocksRead
from .intake_message import (
    AnswerCaller,
    CancelJob,
    IntakeRequest,
    ReadJob,
    SubmitJob,
    Verdict,
)
from .policy import FleetPolicy, PolicyChanged, Queue
from .progress import JobProgress, JobState
from .rows import (
    cancel_key,
    job_key,
    pack,
    PROGRESS,
    progress_key,
    queue_counts_key,
    unpack,
)
from .spec import JobSpec

CALLS_LIMIT = 500
"""Requests in progress at one entry; more are refused at once."""

UNCERTAIN_LIMIT = 1_000
"""Jobs whose acceptance is unknown that one entry remembers."""

RETRY_OVERLOADED = 1.0
RETRY_STORE_DOWN = 1.0
RETRY_NO_POLICY = 1.0
RETRY_UNSUPPORTED = 30.0
"""Seconds after which a refused caller may return, by cause."""


@dataclass(slots=True, kw_only=True)
class Call:
    """Hold one caller's request while the store is asked."""

    request: IntakeRequest
    queue: Queue
    organisation: str
    job_id: str
    lifecycle: Lifecycle
    answers: dict[str, tuple[Row, ...]] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class IntakeState:
    """Own the callers' requests in progress at one entry.

    store_offset is the store's clock less this process's in seconds. uncertain holds
    the jobs that may have been accepted by an attempt whose answer was lost.
    """

    charts: dict[str, Chart]
    new_operation_id: Callable[[], str]
    policy: FleetPolicy = field(default_factory=FleetPolicy)
    calls: dict[str, Call] = field(default_factory=dict)
    operations: dict[str, str] = field(default_factory=dict)
    uncertain: dict[str, None] = field(default_factory=dict)
    store_offset: float = 0.0


class CallAction(Action[IntakeState, Call]):
    """Name an effect in the charts of callers' requests."""

    __slots__ = ()


class CallGuard(Guard[IntakeState, Call]):
    """Name a condition in the charts of callers' requests."""

    __slots__ = ()


class AnswerAccepted(CallAction):
    """Tell the caller that the job is accepted."""

    __slots__ = ()


class AnswerNotAccepted(CallAction):
    """Tell the caller that the job was not accepted and never runs."""

    __slots__ = ()


class AnswerUncertain(CallAction):
    """Tell the caller that the job may have been accepted."""

    __slots__ = ()


class KeepRows(CallAction):
    """Keep the rows of one read until all have arrived."""

    __slots__ = ()


class AnswerState(CallAction):
    """Tell the caller the job's state."""

    __slots__ = ()


class AnswerCount(CallAction):
    """Tell the caller how many jobs of the queue wait."""

    __slots__ = ()


class AnswerNoJob(CallAction):
    """Tell the caller that no such job exists."""

    __slots__ = ()


class AnswerUnavailable(CallAction):
    """Tell the caller that the store does not answer."""

    __slots__ = ()


class WriteCancellation(CallAction):
    """Write that the job is cancelled."""

    __slots__ = ()


class AnswerCancelled(CallAction):
    """Tell the caller that the job is cancelled."""

    __slots__ = ()


class Uncertain(CallGuard):
    """Hold if this attempt, or an earlier one, may have taken effect."""

    __slots__ = ()


class AllRead(CallGuard):
    """Hold if the rows that have just arrived are the last ones asked for."""

    __slots__ = ()


class JobFound(CallGuard):
    """Hold if the job's row is among those that arrived."""

    __slots__ = ()


def call_charts(catalogue: ChartCatalogue) -> dict[str, Chart]:
    """Return the charts of callers' requests by name."""
    return {
        chart.name: chart
        for chart in (
            submission_chart(catalogue),
            cancellation_chart(catalogue),
            job_lookup_chart(catalogue),
            queue_lookup_chart(catalogue),
        )
    }


def submission_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the chart of a job's acceptance."""
    return _bind(catalogue, "submission")


def cancellation_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the chart of a job's cancellation."""
    return _bind(catalogue, "cancellation")


def job_lookup_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the chart of a look at a job's state."""
    return _bind(catalogue, "job_lookup")


def queue_lookup_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the chart of a look at a queue's length."""
    return _bind(catalogue, "queue_lookup")


def _bind(catalogue: ChartCatalogue, name: str) -> Chart:
    return catalogue.bind(
        name, actions=CallAction.__subclasses__(), guards=CallGuard.__subclasses__()
    )


@singledispatch
def decide(message: Message, state: IntakeState, now: float) -> list[Command]:
    """Return the commands that a message to the intake causes."""
    raise UnhandledMessageError(
        f"the intake does not take {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide.register
def _(message: PolicyChanged, state: IntakeState, now: float) -> list[Command]:
    if message.policy.version <= state.policy.version:
        return []
    state.policy = message.policy
    fields = {"version": message.policy.version, "queues": len(message.policy.queues)}
    return [WriteLog(number=POLICY_IN_FORCE.number, fields=fields)]


@decide.register
def _(message: ClocksRead, state: IntakeState, now: float) -> list[Command]:
    state.store_offset = message.store_time - now
    return []


@decide.register
def _(message: IntakeRequest, state: IntakeState, now: float) -> list[Command]:
    admitted = _admit(message, state)
    if isinstance(admitted, AnswerCaller):
        return _refusal(message, admitted)
    return begin(message, admitted, state, now)


@decide.register(StoreResult)
def _(message: StoreResult, state: IntakeState, now: float) -> list[Command]:
    return _continue(message.operation_id, message, state, now)


@decide.register(RowsRead)
@decide.register(RowsUnavailable)
def _(
    message: RowsRead | RowsUnavailable, state: IntakeState, now: float
) -> list[Command]:
    return _continue(message.read_id, message, state, now)


@singledispatch
def begin(
    message: IntakeRequest, queue: Queue, state: IntakeState, now: float
) -> list[Command]:
    """Ask the store on behalf of an admitted request."""
    raise UnhandledMessageError(
        f"the intake does not take {type(message).__name__}",
        "register a body with begin.register",
    )


@begin.register
def _(
    message: SubmitJob, queue: Queue, state: IntakeState, now: float
) -> list[Command]:
    call = _open_call("submission", message, queue, state)
    spec = JobSpec(
        job_id=call.job_id,
        queue=queue.name,
        organisation=call.organisation,
        payload=message.payload,
        steps=message.steps,
        accepted_at=now + state.store_offset,
        repeats=message.repeats,
        repeat_interval=message.repeat_interval,
        start_at=message.start_at,
    )
    key = job_key(call.job_id)
    return [
        _transact(
            call,
            state,
            (Condition(key=key, version=ABSENT),),
            Write(key=key, value=pack(spec)),
        )
    ]


@begin.register
def _(
    message: CancelJob, queue: Queue, state: IntakeState, now: float
) -> list[Command]:
    call = _open_call("cancellation", message, queue, state)
    return _read(call, state, job_key(call.job_id))


@begin.register
def _(message: ReadJob, queue: Queue, state: IntakeState, now: float) -> list[Command]:
    if message.path == queue.prefix:
        call = _open_call("queue_lookup", message, queue, state)
        return _read(call, state, queue_counts_key())
    call = _open_call("job_lookup", message, queue, state)
    return _read(call, state, job_key(call.job_id), progress_key(call.job_id))


def _admit(message: IntakeRequest, state: IntakeState) -> Queue | AnswerCaller:
    """Return the request's queue, or the answer that refuses it at once."""
    policy = state.policy

    def refused(verdict: Verdict, reason: str, retry: float = 0.0) -> AnswerCaller:
        return AnswerCaller(
            call_id=message.call_id, verdict=verdict, reason=reason, retry_after=retry
        )

    if not policy.version:
        return refused(Verdict.NOT_ACCEPTED, "no configuration yet", RETRY_NO_POLICY)
    queue = policy.queue_for(message.host, message.path)
    if queue is None:
        return refused(Verdict.NO_QUEUE, "no queue has this host and prefix")
    if not queue.anonymous and message.key_digest not in policy.keys:
        return refused(Verdict.NO_KEY, "send the key of an organisation")
    if len(state.calls) >= CALLS_LIMIT:
        return refused(
            Verdict.NOT_ACCEPTED, "too many requests in progress", RETRY_OVERLOADED
        )
    if queue.needs_advice and isinstance(message, SubmitJob):
        return refused(
            Verdict.NOT_ACCEPTED, "queues with advice: unsupported", RETRY_UNSUPPORTED
        )
    return queue


def _open_call(
    chart: str, message: IntakeRequest, queue: Queue, state: IntakeState
) -> Call:
    call = state.calls[message.call_id] = Call(
        request=message,
        queue=queue,
        organisation=state.policy.keys.get(message.key_digest, ""),
        job_id=message.path.removeprefix(queue.prefix),
        lifecycle=state.charts[chart].start(),
    )
    return call


def _continue(
    operation: str, message: Message, state: IntakeState, now: float
) -> list[Command]:
    call = state.calls.get(state.operations.pop(operation, ""))
    if call is None:
        return []
    commands = call.lifecycle.handle(message, state, call, now)
    if call.lifecycle.final:
        state.calls.pop(call.request.call_id, None)
    return commands


def _read(call: Call, state: IntakeState, *keys: str) -> list[Command]:
    commands: list[Command] = []
    for key in keys:
        read_id = f"{call.request.call_id}:{key}"
        state.operations[read_id] = call.request.call_id
        call.answers.setdefault(key, ())
        commands.append(ReadRows(read_id=read_id, prefix=key))
    return commands


def _transact(
    call: Call, state: IntakeState, conditions: tuple[Condition, ...], write: Write
) -> Command:
    operation_id = state.new_operation_id()
    state.operations[operation_id] = call.request.call_id
    return Transact(
        transaction=Transaction(
            operation_id=operation_id, conditions=conditions, writes=(write,)
        )
    )


def _row(call: Call, key: str) -> Row | None:
    """Return a row that was read; reads of a prefix may bring longer keys."""
    return next((row for row in call.answers.get(key, ()) if row.key == key), None)


def _asked(message: Message) -> str:
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
    return not any(f"{call_id}:{key}" in waiting for key in guard.subject.answers)


@holds.register
def _(guard: JobFound) -> bool:
    call, message = guard.subject, guard.message
    key = job_key(call.job_id)
    arrived = message.rows if isinstance(message, RowsRead) else ()
    return any(row.key == key for row in (*arrived, *call.answers.get(key, ())))


@perform.register
def _(action: AnswerAccepted) -> list[Command]:
    call = action.subject
    action.state.uncertain.pop(call.job_id, None)
    fields = _job_fields(call) | {
        "repeated": isinstance(action.message, Conflicted),
        "policy": action.state.policy.version,
    }
    return [
        WriteLog(number=JOB_ACCEPTED.number, fields=fields),
        AnswerCaller(call_id=call.request.call_id, verdict=Verdict.DONE),
    ]


@perform.register
def _(action: AnswerNotAccepted) -> list[Command]:
    call = action.subject
    reason = _reason(action.message)
    answer = AnswerCaller(
        call_id=call.request.call_id,
        verdict=Verdict.NOT_ACCEPTED,
        reason=reason,
        retry_after=RETRY_STORE_DOWN,
    )
    fields = _job_fields(call) | {"reason": reason}
    return [WriteLog(number=JOB_REFUSED.number, fields=fields), answer]


@perform.register
def _(action: AnswerUncertain) -> list[Command]:
    call, uncertain = action.subject, action.state.uncertain
    uncertain[call.job_id] = None
    if len(uncertain) > UNCERTAIN_LIMIT:
        del uncertain[next(iter(uncertain))]
    reason = _reason(action.message)
    answer = AnswerCaller(
        call_id=call.request.call_id, verdict=Verdict.UNKNOWN, reason=reason
    )
    fields = _job_fields(call) | {"reason": reason}
    return [WriteLog(number=JOB_UNCERTAIN.number, fields=fields), answer]


@perform.register
def _(action: KeepRows) -> list[Command]:
    if isinstance(action.message, RowsRead):
        action.subject.answers[_asked(action.message)] = action.message.rows
    return []


@perform.register
def _(action: AnswerState) -> list[Command]:
    call = action.subject
    row = _row(call, progress_key(call.job_id))
    progress: Result[JobProgress, Exception] = Success(JobProgress())
    if row is not None:
        progress = unpack(PROGRESS, row.value)
    if isinstance(progress, Failure):
        return _unavailable(call, str(progress.failure()))
    job_state: JobState = progress.unwrap().state
    return [
        AnswerCaller(
            call_id=call.request.call_id, verdict=Verdict.DONE, job_state=job_state
        )
    ]


@perform.register
def _(action: AnswerCount) -> list[Command]:
    call = action.subject
    row = _row(call, queue_counts_key())
    waiting = row.value.get(call.queue.name, 0) if row else 0
    return [
        AnswerCaller(
            call_id=call.request.call_id, verdict=Verdict.DONE, waiting=int(waiting)
        )
    ]


@perform.register
def _(action: AnswerNoJob) -> list[Command]:
    call = action.subject
    return [AnswerCaller(call_id=call.request.call_id, verdict=Verdict.NO_JOB)]


@perform.register
def _(action: AnswerUnavailable) -> list[Command]:
    return _unavailable(action.subject, _reason(action.message))


@perform.register
def _(action: WriteCancellation) -> list[Command]:
    call = action.subject
    key = cancel_key(call.job_id)
    write = Write(key=key, value={"job_id": call.job_id})
    absent = Condition(key=key, version=ABSENT)
    return [_transact(call, action.state, (absent,), write)]


@perform.register
def _(action: AnswerCancelled) -> list[Command]:
    call = action.subject
    fields = _job_fields(call) | {"result": "cancelled"}
    return [
        WriteLog(number=CANCEL_ANSWERED.number, fields=fields),
        AnswerCaller(call_id=call.request.call_id, verdict=Verdict.DONE),
    ]


def _unavailable(call: Call, reason: str) -> list[Command]:
    answer = AnswerCaller(
        call_id=call.request.call_id,
        verdict=Verdict.UNAVAILABLE,
        reason=reason,
        retry_after=RETRY_STORE_DOWN,
    )
    fields = _job_fields(call) | {"result": f"unavailable: {reason}"}
    return [WriteLog(number=CANCEL_ANSWERED.number, fields=fields), answer]


def _refusal(message: IntakeRequest, answer: AnswerCaller) -> list[Command]:
    fields = {
        "job": message.path,
        "organisation": "",
        "reason": f"{answer.verdict.value}: {answer.reason}",
        "request": type(message).__name__,
    }
    return [WriteLog(number=JOB_REFUSED.number, fields=fields), answer]


def _job_fields(call: Call) -> dict[str, str]:
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
