"""Implement the actions of the request's state chart."""

from __future__ import annotations

from ..action import perform
from ..command import Command, SendToAgent, SetTimer
from ..protocol import (
    CancelAttempt,
    PermitGranted,
    Reason,
    RequestPermit,
    ResolveAttempt,
    StartAttempt,
)
from .outcome import Outcome, ReplyToCaller
from .request import Request, RequestAction
from .request_guard import check_admission
from .request_message import ResolveTimedOut, RetryDue
from .request_reply import failure_reason, release_endpoint, reply_to_caller
from .retry import backoff

RESOLVE_TIMEOUT = 3.0
"""Seconds that an agent has to reconnect before an idempotent request is retried."""


class CountFirstAttempt(RequestAction):
    """Credit the retry budget of the class for a first attempt."""

    __slots__ = ()


class SendPermitRequest(RequestAction):
    """Choose an endpoint and request a start permit from its agent."""

    __slots__ = ()


class SendStart(RequestAction):
    """Send the start of the attempt under the granted permit."""

    __slots__ = ()


class SendCancel(RequestAction):
    """Tell the agent to cancel the attempt."""

    __slots__ = ()


class SendResolve(RequestAction):
    """Query the state of the attempt from the agent on its new stream."""

    __slots__ = ()


class SetResolveTimer(RequestAction):
    """Limit the wait for the agent's new stream."""

    __slots__ = ()


class ScheduleRetry(RequestAction):
    """Cancel the attempt, charge the retry budget and retry after a jittered delay."""

    __slots__ = ()


class RecordFailure(RequestAction):
    """Count a failed call against the endpoint."""

    __slots__ = ()


class MarkMayHaveRun(RequestAction):
    """Record that an attempt of the request may have run."""

    __slots__ = ()


class Enqueue(RequestAction):
    """Add the request to the end of its queue."""

    __slots__ = ()


class EnqueueFirst(RequestAction):
    """Return the request to the head of the queue of its class."""

    __slots__ = ()


class LeaveQueue(RequestAction):
    """Remove the request from its queue."""

    __slots__ = ()


class PauseEndpoint(RequestAction):
    """Pause an endpoint without a free slot, or mark it as leaving."""

    __slots__ = ()


class Reject(RequestAction):
    """Reply that the request is not admitted, and after which time to retry."""

    __slots__ = ()


@perform.register
def _(action: CountFirstAttempt) -> list[Command]:
    action.state.budget(action.subject.work_class).deposit()
    return []


@perform.register
def _(action: Enqueue) -> list[Command]:
    request = action.subject
    action.state.admission.add(
        request.received.request_id, request.queue_key, request.work_class
    )
    return []


@perform.register
def _(action: EnqueueFirst) -> list[Command]:
    request = action.subject
    release_endpoint(action.state, request)
    request.agent_id = ""
    action.state.admission.add(
        request.received.request_id, request.queue_key, request.work_class, first=True
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
    endpoint.record_refusal(action.now, action.state.random)
    return []


@perform.register
def _(action: Reject) -> list[Command]:
    rejection = check_admission(action)
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
def _(action: SendPermitRequest) -> list[Command]:
    state, request = action.state, action.subject
    endpoint = state.choose(request.received.service, action.now, request.tried)
    if endpoint is None:
        return []
    if endpoint.region != state.region:
        state.spill_budget.spend(len(request.received.body))
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
            timer_id=f"resolve/{request_id}", delay=RESOLVE_TIMEOUT, message=timed_out
        )
    ]


@perform.register
def _(action: ScheduleRetry) -> list[Command]:
    state, request = action.state, action.subject
    state.budget(request.work_class).withdraw()
    release_endpoint(state, request)
    request_id = request.received.request_id
    retry = SetTimer(
        timer_id=f"retry/{request_id}",
        delay=backoff(request.attempts, state.random),
        message=RetryDue(request_id=request_id),
    )
    return [_cancel(request), retry]


@perform.register
def _(action: MarkMayHaveRun) -> list[Command]:
    action.subject.may_have_run = True
    return []


@perform.register
def _(action: RecordFailure) -> list[Command]:
    endpoint = action.state.endpoints.get(action.subject.agent_id)
    if endpoint is not None:
        endpoint.record_failure(action.now)
    return []


def _cancel(request: Request) -> SendToAgent:
    cancel = CancelAttempt(attempt_id=request.attempt_id)
    return SendToAgent(agent_id=request.agent_id, message=cancel)
