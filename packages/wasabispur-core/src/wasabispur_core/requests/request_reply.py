"""Reply to callers of an entry instance, and map failure messages to reasons."""

from __future__ import annotations

from functools import singledispatch

from ..action import perform
from ..command import CancelTimer, Command
from ..message import Message
from ..protocol import (
    AttemptCompleted,
    AttemptNotRun,
    AttemptUnknown,
    PermitRefused,
    Reason,
)
from ..storage.store import Committed, StoreUnavailable
from .claim import (
    ClaimCompleted,
    ClaimMismatched,
    ClaimOwned,
    ClaimResponseTooLarge,
)
from .outcome import Outcome, ReplyToCaller
from .request import Request, RequestAction, RequestState
from .request_message import AgentAttached, AgentDetached, RequestReceived, RetryDue


class ReportCompleted(RequestAction):
    """Reply to the caller with the endpoint's response."""

    __slots__ = ()


class ReportNotRun(RequestAction):
    """Reply that the request did not run."""

    __slots__ = ()


class ReportUnknown(RequestAction):
    """Reply that the request may have run."""

    __slots__ = ()


class ReportFailure(RequestAction):
    """Reply "unknown" if an attempt may have run, and "not run" otherwise."""

    __slots__ = ()


@perform.register
def _(action: ReportCompleted) -> list[Command]:
    message = action.message
    if not isinstance(message, AttemptCompleted):
        return []
    endpoint = action.state.endpoints.get(action.subject.agent_id)
    if endpoint is not None:
        endpoint.record_success(action.now - action.subject.started)
    action.subject.response = message
    return reply_with_response(action, message)


@perform.register
def _(action: ReportNotRun) -> list[Command]:
    return reply_to_caller(action, failure_reply(action, Outcome.NOT_RUN))


@perform.register
def _(action: ReportUnknown) -> list[Command]:
    return reply_to_caller(action, failure_reply(action, Outcome.UNKNOWN))


@perform.register
def _(action: ReportFailure) -> list[Command]:
    outcome = Outcome.UNKNOWN if action.subject.may_have_run else Outcome.NOT_RUN
    return reply_to_caller(action, failure_reply(action, outcome))


@singledispatch
def failure_reason(message: Message) -> Reason:
    """Return the reason for which a request fails on a message."""
    return Reason.DEADLINE_EXCEEDED


@failure_reason.register(RequestReceived)
@failure_reason.register(RetryDue)
def _(message: RequestReceived | RetryDue) -> Reason:
    return Reason.NO_ENDPOINT


@failure_reason.register(Committed)
@failure_reason.register(ClaimOwned)
def _(message: Committed | ClaimOwned) -> Reason:
    return Reason.NO_ENDPOINT


@failure_reason.register
def _(message: StoreUnavailable) -> Reason:
    return Reason.TABLE_UNAVAILABLE


@failure_reason.register
def _(message: ClaimMismatched) -> Reason:
    return Reason.KEY_REUSED


@failure_reason.register
def _(message: ClaimResponseTooLarge) -> Reason:
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


def failure_reply(action: RequestAction, outcome: Outcome) -> ReplyToCaller:
    """Return the reply with the outcome and the reason of the failure."""
    return ReplyToCaller(
        request_id=action.subject.received.request_id,
        outcome=outcome,
        reason=failure_reason(action.message).value,
    )


def reply_to_caller(action: RequestAction, reply: ReplyToCaller) -> list[Command]:
    """Release the endpoint, and return the commands to cancel timers and reply."""
    state, request = action.state, action.subject
    release_endpoint(state, request)
    request.agent_id = ""
    state.history.add(reply)
    request_id = reply.request_id
    timers = (request_id, f"retry/{request_id}", f"resolve/{request_id}")
    return [*(CancelTimer(timer_id=timer_id) for timer_id in timers), reply]


def reply_with_response(
    action: RequestAction, response: AttemptCompleted | ClaimCompleted
) -> list[Command]:
    """Return the commands to reply with an endpoint's response."""
    reply = ReplyToCaller(
        request_id=action.subject.received.request_id,
        outcome=Outcome.COMPLETED,
        status=response.status,
        headers=response.headers,
        body=response.body,
    )
    return reply_to_caller(action, reply)


def release_endpoint(state: RequestState, request: Request) -> None:
    """Release the slot that the request occupies at an endpoint, if any."""
    endpoint = state.endpoints.get(request.agent_id)
    if not request.holds_endpoint:
        return
    request.holds_endpoint = False
    state.admission.release(request.queue_key)
    if endpoint is not None:
        endpoint.in_flight -= 1
