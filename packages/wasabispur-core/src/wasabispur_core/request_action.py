"""Give the names in the request chart their bodies."""

from __future__ import annotations

from functools import singledispatch

from .action import Action, Guard, holds, perform
from .admission import Rejection
from .claim import ClaimMismatched, ClaimOurs, ClaimOversized
from .command import CancelTimer, Command, SendToAgent, SetTimer
from .message import Message
from .outcome import Outcome, ReplyToCaller
from .protocol import (
    AttemptCompleted,
    AttemptNotRun,
    AttemptUnknown,
    CancelAttempt,
    PermitGranted,
    PermitRefused,
    Reason,
    RequestPermit,
    ResolveAttempt,
    StartAttempt,
)
from .request import (
    AgentAttached,
    AgentDetached,
    Request,
    RequestReceived,
    RequestState,
    ResolveTimedOut,
    RetryDue,
)
from .retry import ATTEMPT_LIMIT, backoff
from .routing import serving_endpoints
from .store import Committed, StoreUnavailable

RESOLVE_WAIT = 3.0
"""Seconds for an agent to come back before an idempotent request is repeated."""


class RequestAction(Action[RequestState, Request]):
    """Name an effect in the request chart."""

    __slots__ = ()


class RequestGuard(Guard[RequestState, Request]):
    """Name a condition in the request chart."""

    __slots__ = ()


class CountFirstAttempt(RequestAction):
    """Add a first attempt to the retry budget of the class."""

    __slots__ = ()


class AskPermit(RequestAction):
    """Choose an endpoint and ask its agent for a start permit."""

    __slots__ = ()


class SendStart(RequestAction):
    """Start the attempt under the granted permit."""

    __slots__ = ()


class SendCancel(RequestAction):
    """Tell the agent to give up the attempt."""

    __slots__ = ()


class SendResolve(RequestAction):
    """Ask the agent on its new stream how the attempt ended."""

    __slots__ = ()


class SetResolveTimer(RequestAction):
    """Bound the wait for the agent's new stream."""

    __slots__ = ()


class ScheduleRetry(RequestAction):
    """Give up the attempt and pay for another one after a jittered delay."""

    __slots__ = ()


class NoteFailure(RequestAction):
    """Count a failed call against the endpoint."""

    __slots__ = ()


class MarkUnknown(RequestAction):
    """Note that an attempt of the request may have run."""

    __slots__ = ()


class ReportCompleted(RequestAction):
    """Reply to the caller with the endpoint's response."""

    __slots__ = ()


class ReportNotRun(RequestAction):
    """Tell the caller that the request did not run."""

    __slots__ = ()


class ReportUnknown(RequestAction):
    """Tell the caller that the request may have run."""

    __slots__ = ()


class ReportFailure(RequestAction):
    """Tell the caller "not run" unless some attempt may have run."""

    __slots__ = ()


class Enqueue(RequestAction):
    """Let the request wait for its turn."""

    __slots__ = ()


class EnqueueFirst(RequestAction):
    """Let the request wait before all others of its class."""

    __slots__ = ()


class LeaveQueue(RequestAction):
    """Drop the request from its queue."""

    __slots__ = ()


class PauseEndpoint(RequestAction):
    """Leave an endpoint alone that has no free slot or is leaving."""

    __slots__ = ()


class Reject(RequestAction):
    """Tell the caller that the request can't wait, and when to try again."""

    __slots__ = ()


class Admissible(RequestGuard):
    """Hold if the queue has room and the expected wait fits the deadline."""

    __slots__ = ()


class TurnKept(RequestGuard):
    """Hold if the agent refused the permit for a reason that is no fault."""

    __slots__ = ()


class EndpointAvailable(RequestGuard):
    """Hold if some endpoint of the service takes new work."""

    __slots__ = ()


class RetryAllowed(RequestGuard):
    """Hold if time, attempts and budget are left for another attempt."""

    __slots__ = ()


class Idempotent(RequestGuard):
    """Hold if the class allows a request to run more than once."""

    __slots__ = ()


class Repeatable(RequestGuard):
    """Hold if no attempt may have run, or the class allows more than one run."""

    __slots__ = ()


@holds.register
def _(guard: EndpointAvailable) -> bool:
    service = guard.subject.received.service
    return bool(serving_endpoints(guard.state.endpoints.values(), service))


@holds.register
def _(guard: Admissible) -> bool:
    return _rejection(guard) is None


@holds.register
def _(guard: TurnKept) -> bool:
    return failure_reason(guard.message) in (Reason.NO_FREE_SLOT, Reason.LEAVING)


@holds.register
def _(guard: RetryAllowed) -> bool:
    request = guard.subject
    if request.attempts >= ATTEMPT_LIMIT or guard.now >= request.deadline:
        return False
    return guard.state.budget(request.work_class).available


@holds.register
def _(guard: Idempotent) -> bool:
    return guard.subject.work_class.idempotent


@holds.register
def _(guard: Repeatable) -> bool:
    return guard.subject.work_class.idempotent or not guard.subject.may_have_run


@perform.register
def _(action: CountFirstAttempt) -> list[Command]:
    action.state.budget(action.subject.work_class).deposit()
    return []


@perform.register
def _(action: Enqueue) -> list[Command]:
    request = action.subject
    action.state.admission.add(
        request.received.request_id, request.place, request.work_class
    )
    return []


@perform.register
def _(action: EnqueueFirst) -> list[Command]:
    request = action.subject
    _release_endpoint(action.state, request)
    request.agent_id = ""
    action.state.admission.add(
        request.received.request_id, request.place, request.work_class, first=True
    )
    return []


@perform.register
def _(action: LeaveQueue) -> list[Command]:
    action.state.admission.remove(action.subject.received.request_id)
    return []


@perform.register
def _(action: PauseEndpoint) -> list[Command]:
    endpoint = action.state.endpoints.get(action.subject.agent_id)
    if endpoint is None:
        return []
    if failure_reason(action.message) is Reason.LEAVING:
        endpoint.leaving = True
        return []
    endpoint.note_refusal(action.now, action.state.random)
    return []


@perform.register
def _(action: Reject) -> list[Command]:
    rejection = _rejection(action)
    if rejection is None:
        return []
    reply = ReplyToCaller(
        request_id=action.subject.received.request_id,
        outcome=Outcome.NOT_RUN,
        reason=rejection.reason.value,
        retry_after=rejection.retry_after,
    )
    return reply_to_caller(action, reply)


@perform.register
def _(action: AskPermit) -> list[Command]:
    state, request = action.state, action.subject
    endpoint = state.choose(request.received.service, action.now, request.tried)
    if endpoint is None:
        return []
    if endpoint.region != state.region:
        state.spill.spend(len(request.received.body))
    endpoint.in_flight += 1
    request.holds_endpoint = True
    request.agent_id = endpoint.agent_id
    request.permit_id = None
    request.attempts += 1
    request.tried.add(endpoint.agent_id)
    permit = RequestPermit(
        attempt_id=request.attempt_id,
        request_id=request.received.request_id,
        remaining=request.deadline - action.now,
    )
    return [SendToAgent(agent_id=request.agent_id, message=permit)]


@perform.register
def _(action: SendStart) -> list[Command]:
    request, message = action.subject, action.message
    if not isinstance(message, PermitGranted):
        return []
    received = request.received
    request.permit_id = message.permit_id
    request.started = action.now
    start = StartAttempt(
        attempt_id=request.attempt_id,
        permit_id=message.permit_id,
        method=received.method,
        path=received.path,
        headers=received.headers,
        body=received.body,
        remaining=request.deadline - action.now,
    )
    return [SendToAgent(agent_id=request.agent_id, message=start)]


@perform.register
def _(action: SendCancel) -> list[Command]:
    return [_cancel(action.subject)]


@perform.register
def _(action: SendResolve) -> list[Command]:
    request = action.subject
    if request.permit_id is None:
        return []
    resolve = ResolveAttempt(attempt_id=request.attempt_id, permit_id=request.permit_id)
    return [SendToAgent(agent_id=request.agent_id, message=resolve)]


@perform.register
def _(action: SetResolveTimer) -> list[Command]:
    request = action.subject
    request_id = request.received.request_id
    timed_out = ResolveTimedOut(request_id=request_id, attempt_id=request.attempt_id)
    return [
        SetTimer(
            timer_id=f"resolve/{request_id}", delay=RESOLVE_WAIT, message=timed_out
        )
    ]


@perform.register
def _(action: ScheduleRetry) -> list[Command]:
    state, request = action.state, action.subject
    state.budget(request.work_class).withdraw()
    _release_endpoint(state, request)
    request_id = request.received.request_id
    retry = SetTimer(
        timer_id=f"retry/{request_id}",
        delay=backoff(request.attempts, state.random),
        message=RetryDue(request_id=request_id),
    )
    return [_cancel(request), retry]


@perform.register
def _(action: MarkUnknown) -> list[Command]:
    action.subject.may_have_run = True
    return []


@perform.register
def _(action: NoteFailure) -> list[Command]:
    endpoint = action.state.endpoints.get(action.subject.agent_id)
    if endpoint is not None:
        endpoint.note_failure(action.now)
    return []


@perform.register
def _(action: ReportCompleted) -> list[Command]:
    message = action.message
    if not isinstance(message, AttemptCompleted):
        return []
    endpoint = action.state.endpoints.get(action.subject.agent_id)
    if endpoint is not None:
        endpoint.note_success(action.now - action.subject.started)
    action.subject.response = message
    reply = ReplyToCaller(
        request_id=action.subject.received.request_id,
        outcome=Outcome.COMPLETED,
        status=message.status,
        headers=message.headers,
        body=message.body,
    )
    return reply_to_caller(action, reply)


@perform.register
def _(action: ReportNotRun) -> list[Command]:
    return reply_to_caller(action, _failure(action, Outcome.NOT_RUN))


@perform.register
def _(action: ReportUnknown) -> list[Command]:
    return reply_to_caller(action, _failure(action, Outcome.UNKNOWN))


@perform.register
def _(action: ReportFailure) -> list[Command]:
    outcome = Outcome.UNKNOWN if action.subject.may_have_run else Outcome.NOT_RUN
    return reply_to_caller(action, _failure(action, outcome))


@singledispatch
def failure_reason(message: Message) -> Reason:
    """Return why a request failed on this message."""
    return Reason.DEADLINE_EXCEEDED


@failure_reason.register(RequestReceived)
@failure_reason.register(RetryDue)
def _(message: RequestReceived | RetryDue) -> Reason:
    return Reason.NO_ENDPOINT


@failure_reason.register(Committed)
@failure_reason.register(ClaimOurs)
def _(message: Committed | ClaimOurs) -> Reason:
    return Reason.NO_ENDPOINT


@failure_reason.register
def _(message: StoreUnavailable) -> Reason:
    return Reason.TABLE_UNAVAILABLE


@failure_reason.register
def _(message: ClaimMismatched) -> Reason:
    return Reason.KEY_REUSED


@failure_reason.register
def _(message: ClaimOversized) -> Reason:
    return Reason.RESPONSE_TOO_LARGE


@failure_reason.register(AgentAttached)
@failure_reason.register(AgentDetached)
def _(message: AgentAttached | AgentDetached) -> Reason:
    return Reason.STREAM_LOST


@failure_reason.register(PermitRefused)
@failure_reason.register(AttemptNotRun)
@failure_reason.register(AttemptUnknown)
def _(message: PermitRefused | AttemptNotRun | AttemptUnknown) -> Reason:
    return message.reason


def _rejection(scope: RequestAction | RequestGuard) -> Rejection | None:
    request = scope.subject
    remaining = request.deadline - scope.now
    return scope.state.admission.check(request.place, request.work_class, remaining)


def _cancel(request: Request) -> SendToAgent:
    cancel = CancelAttempt(attempt_id=request.attempt_id)
    return SendToAgent(agent_id=request.agent_id, message=cancel)


def _failure(action: RequestAction, outcome: Outcome) -> ReplyToCaller:
    return ReplyToCaller(
        request_id=action.subject.received.request_id,
        outcome=outcome,
        reason=failure_reason(action.message).value,
    )


def reply_to_caller(action: RequestAction, reply: ReplyToCaller) -> list[Command]:
    """Return the reply and let go of the endpoint and the timers."""
    state, request = action.state, action.subject
    _release_endpoint(state, request)
    request.agent_id = ""
    state.history.add(reply)
    request_id = reply.request_id
    timers = (request_id, f"retry/{request_id}", f"resolve/{request_id}")
    return [*(CancelTimer(timer_id=timer_id) for timer_id in timers), reply]


def _release_endpoint(state: RequestState, request: Request) -> None:
    endpoint = state.endpoints.get(request.agent_id)
    if not request.holds_endpoint:
        return
    request.holds_endpoint = False
    state.admission.release(request.place)
    if endpoint is not None:
        endpoint.in_flight -= 1
