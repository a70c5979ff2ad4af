"""Decide the life of a request at the entry that received it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatch
from random import Random

from .action import Action, Guard, holds, perform
from .chart import Chart, ChartCatalogue, Lifecycle
from .command import CancelTimer, Command, SendToAgent, SetTimer
from .error import UnhandledMessageError
from .member import FromAgent
from .message import Message
from .protocol import (
    AttemptCompleted,
    CancelAttempt,
    PermitGranted,
    Reason,
    RequestPermit,
    StartAttempt,
)
from .routing import choose_endpoint, EndpointView


class Outcome(Enum):
    """Tell how a request ended."""

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestReceived(Message):
    """Report a caller's request; deadline is in seconds from now."""

    request_id: str
    organisation: str
    work_class: str
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class DeadlineReached(Message):
    """Report that a request's time is over."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentAttached(Message):
    """Report an endpoint that can take requests."""

    agent_id: str
    service: str
    region: str
    slots: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentDetached(Message):
    """Report that the stream to an agent is gone."""

    agent_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplyToCaller(Command):
    """Give the caller the outcome and, if completed, the endpoint's response."""

    request_id: str
    outcome: Outcome
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    reason: str = ""


@dataclass(slots=True)
class Request:
    """Hold the state of one request in progress."""

    received: RequestReceived
    lifecycle: Lifecycle
    deadline: float
    agent_id: str = ""
    attempts: int = 0

    @property
    def attempt_id(self) -> str:
        """Return the id of the current attempt."""
        return f"{self.received.request_id}.{self.attempts}"


class RequestAction(Action["RequestState", Request]):
    """Name an effect in the request chart."""

    __slots__ = ()


class RequestGuard(Guard["RequestState", Request]):
    """Name a condition in the request chart."""

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


class ReportCompleted(RequestAction):
    """Reply to the caller with the endpoint's response."""

    __slots__ = ()


class ReportNotRun(RequestAction):
    """Tell the caller that the request did not run."""

    __slots__ = ()


class ReportUnknown(RequestAction):
    """Tell the caller that the request may have run."""

    __slots__ = ()


class EndpointAvailable(RequestGuard):
    """Hold if some endpoint of the service can take the request."""

    __slots__ = ()


@dataclass(slots=True)
class RequestState:
    """Own the requests in progress and the view of the endpoints."""

    region: str
    chart: Chart
    random: Random
    requests: dict[str, Request] = field(default_factory=dict)
    endpoints: dict[str, EndpointView] = field(default_factory=dict)


def request_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the request chart bound to its actions and guards."""
    return catalogue.bind(
        "request",
        actions=RequestAction.__subclasses__(),
        guards=RequestGuard.__subclasses__(),
    )


@singledispatch
def decide(message: Message, state: RequestState, now: float) -> list[Command]:
    """Return the commands that a message to the request component causes."""
    raise UnhandledMessageError(
        f"the request component does not take {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide.register
def _(message: RequestReceived, state: RequestState, now: float) -> list[Command]:
    request = Request(message, state.chart.start(), now + message.deadline)
    state.requests[message.request_id] = request
    timer = SetTimer(
        timer_id=message.request_id,
        delay=message.deadline,
        message=DeadlineReached(request_id=message.request_id),
    )
    return [timer, *request.lifecycle.handle(message, state, request, now)]


@decide.register
def _(message: DeadlineReached, state: RequestState, now: float) -> list[Command]:
    request = state.requests.get(message.request_id)
    if request is None:
        return []
    return request.lifecycle.handle(message, state, request, now)


@decide.register
def _(message: FromAgent, state: RequestState, now: float) -> list[Command]:
    reply = message.message
    attempt_id = getattr(reply, "attempt_id", "")
    request = state.requests.get(attempt_id.rpartition(".")[0])
    if request is None or request.attempt_id != attempt_id:
        return []
    # Only the agent that got the attempt may report on it.
    if request.agent_id != message.agent_id:
        return []
    return request.lifecycle.handle(reply, state, request, now)


@decide.register
def _(message: AgentAttached, state: RequestState, now: float) -> list[Command]:
    state.endpoints[message.agent_id] = EndpointView(
        agent_id=message.agent_id,
        service=message.service,
        region=message.region,
        slots=message.slots,
    )
    return []


@decide.register
def _(message: AgentDetached, state: RequestState, now: float) -> list[Command]:
    state.endpoints.pop(message.agent_id, None)
    commands: list[Command] = []
    for request in list(state.requests.values()):
        if request.agent_id == message.agent_id:
            commands += request.lifecycle.handle(message, state, request, now)
    return commands


@holds.register
def _(guard: EndpointAvailable) -> bool:
    return _choose(guard.state, guard.subject) is not None


@perform.register
def _(action: AskPermit) -> list[Command]:
    request = action.subject
    endpoint = _choose(action.state, request)
    if endpoint is None:
        return []
    endpoint.in_flight += 1
    request.agent_id = endpoint.agent_id
    request.attempts += 1
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
    request = action.subject
    cancel = CancelAttempt(attempt_id=request.attempt_id)
    return [SendToAgent(agent_id=request.agent_id, message=cancel)]


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


def _choose(state: RequestState, request: Request) -> EndpointView | None:
    return choose_endpoint(
        state.endpoints.values(), request.received.service, state.region, state.random
    )


def _failure(action: RequestAction, outcome: Outcome) -> ReplyToCaller:
    reason = getattr(action.message, "reason", None)
    if not isinstance(reason, Reason):
        reason = Reason.DEADLINE_EXCEEDED
    return ReplyToCaller(
        request_id=action.subject.received.request_id,
        outcome=outcome,
        reason=reason.value,
    )


def _end(action: RequestAction, reply: ReplyToCaller) -> list[Command]:
    state, request = action.state, action.subject
    state.requests.pop(reply.request_id, None)
    endpoint = state.endpoints.get(request.agent_id)
    if endpoint is not None:
        endpoint.in_flight -= 1
    return [CancelTimer(timer_id=reply.request_id), reply]
