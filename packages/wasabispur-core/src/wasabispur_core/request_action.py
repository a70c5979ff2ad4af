"""Give the names in the request chart their bodies."""

from __future__ import annotations

from functools import singledispatch

from .action import Action, Guard, holds, perform
from .chart import Chart, ChartCatalogue
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
from .routing import choose_endpoint, EndpointView

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


class EndpointAvailable(RequestGuard):
    """Hold if some endpoint of the service can take the request."""

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


def request_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the request chart bound to its actions and guards."""
    return catalogue.bind(
        "request",
        actions=RequestAction.__subclasses__(),
        guards=RequestGuard.__subclasses__(),
    )


@holds.register
def _(guard: EndpointAvailable) -> bool:
    return _choose(guard.state, guard.subject) is not None


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
def _(action: AskPermit) -> list[Command]:
    request = action.subject
    endpoint = _choose(action.state, request)
    if endpoint is None:
        return []
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
def _(action: ReportCompleted) -> list[Command]:
    message = action.message
    if not isinstance(message, AttemptCompleted):
        return []
    reply = ReplyToCaller(
        request_id=action.subject.received.request_id,
        outcome=Outcome.COMPLETED,
        status=message.status,
        headers=message.headers,
        body=message.body,
    )
    return _end(action, reply)


@perform.register
def _(action: ReportNotRun) -> list[Command]:
    return _end(action, _failure(action, Outcome.NOT_RUN))


@perform.register
def _(action: ReportUnknown) -> list[Command]:
    return _end(action, _failure(action, Outcome.UNKNOWN))


@perform.register
def _(action: ReportFailure) -> list[Command]:
    outcome = Outcome.UNKNOWN if action.subject.may_have_run else Outcome.NOT_RUN
    return _end(action, _failure(action, outcome))


@singledispatch
def failure_reason(message: Message) -> Reason:
    """Return why a request failed on this message."""
    return Reason.DEADLINE_EXCEEDED


@failure_reason.register(RequestReceived)
@failure_reason.register(RetryDue)
def _(message: RequestReceived | RetryDue) -> Reason:
    return Reason.NO_ENDPOINT


@failure_reason.register(AgentAttached)
@failure_reason.register(AgentDetached)
def _(message: AgentAttached | AgentDetached) -> Reason:
    return Reason.STREAM_LOST


@failure_reason.register(PermitRefused)
@failure_reason.register(AttemptNotRun)
@failure_reason.register(AttemptUnknown)
def _(message: PermitRefused | AttemptNotRun | AttemptUnknown) -> Reason:
    return message.reason


def _choose(state: RequestState, request: Request) -> EndpointView | None:
    return choose_endpoint(
        state.endpoints.values(),
        request.received.service,
        state.region,
        state.random,
        avoided=request.tried,
    )


def _cancel(request: Request) -> SendToAgent:
    cancel = CancelAttempt(attempt_id=request.attempt_id)
    return SendToAgent(agent_id=request.agent_id, message=cancel)


def _failure(action: RequestAction, outcome: Outcome) -> ReplyToCaller:
    return ReplyToCaller(
        request_id=action.subject.received.request_id,
        outcome=outcome,
        reason=failure_reason(action.message).value,
    )


def _end(action: RequestAction, reply: ReplyToCaller) -> list[Command]:
    state, request = action.state, action.subject
    state.requests.pop(reply.request_id, None)
    _release_endpoint(state, request)
    return [CancelTimer(timer_id=reply.request_id), reply]


def _release_endpoint(state: RequestState, request: Request) -> None:
    endpoint = state.endpoints.get(request.agent_id)
    if endpoint is not None and request.holds_endpoint:
        endpoint.in_flight -= 1
    request.holds_endpoint = False
