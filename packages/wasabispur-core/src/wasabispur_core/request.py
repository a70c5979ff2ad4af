"""Decide the life of a request at the entry that received it."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch
from random import Random

from .chart import Chart, Lifecycle
from .command import Command, SetTimer
from .error import UnhandledMessageError
from .member import FromAgent
from .message import Message
from .protocol import PermitId
from .retry import RetryBudget
from .routing import EndpointView
from .work_class import default_classes, WorkClass


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
class RetryDue(Message):
    """Report that the delay before the next attempt is over."""

    request_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ResolveTimedOut(Message):
    """Report that an agent did not come back to tell how an attempt ended."""

    request_id: str
    attempt_id: str


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
class AgentLeaving(Message):
    """Report that an agent takes no new work but finishes what it runs."""

    agent_id: str


@dataclass(slots=True)
class Request:
    """Hold the state of one request in progress.

    The deadline is in monotonic seconds of this process.
    """

    received: RequestReceived
    work_class: WorkClass
    lifecycle: Lifecycle
    deadline: float
    agent_id: str = ""
    permit_id: PermitId | None = None
    attempts: int = 0
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False
    holds_endpoint: bool = False

    @property
    def attempt_id(self) -> str:
        """Return the id of the current attempt."""
        return f"{self.received.request_id}.{self.attempts}"


@dataclass(slots=True)
class RequestState:
    """Own the requests in progress and the view of the endpoints."""

    region: str
    chart: Chart
    random: Random
    requests: dict[str, Request] = field(default_factory=dict)
    endpoints: dict[str, EndpointView] = field(default_factory=dict)
    classes: dict[str, WorkClass] = field(default_factory=default_classes)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def budget(self, work_class: WorkClass) -> RetryBudget:
        """Return the retry budget of a class."""
        budget = self.budgets.get(work_class.name)
        if budget is None:
            budget = RetryBudget(work_class.retry_budget)
            self.budgets[work_class.name] = budget
        return budget


@singledispatch
def decide(message: Message, state: RequestState, now: float) -> list[Command]:
    """Return the commands that a message to the request component causes."""
    raise UnhandledMessageError(
        f"the request component does not take {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide.register
def _(message: RequestReceived, state: RequestState, now: float) -> list[Command]:
    request = Request(
        received=message,
        work_class=state.classes[message.work_class],
        lifecycle=state.chart.start(),
        deadline=now + message.deadline,
    )
    state.requests[message.request_id] = request
    timer = SetTimer(
        timer_id=message.request_id,
        delay=message.deadline,
        message=DeadlineReached(request_id=message.request_id),
    )
    return [timer, *request.lifecycle.handle(message, state, request, now)]


@decide.register(DeadlineReached)
@decide.register(RetryDue)
def _(
    message: DeadlineReached | RetryDue, state: RequestState, now: float
) -> list[Command]:
    request = state.requests.get(message.request_id)
    if request is None:
        return []
    return request.lifecycle.handle(message, state, request, now)


@decide.register
def _(message: ResolveTimedOut, state: RequestState, now: float) -> list[Command]:
    request = state.requests.get(message.request_id)
    if request is None or request.attempt_id != message.attempt_id:
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
    # A new stream may replace one whose end was not reported; what was under way
    # on the former stream is lost.
    detached = AgentDetached(agent_id=message.agent_id)
    commands = _tell_requests(detached, message.agent_id, state, now)
    state.endpoints[message.agent_id] = EndpointView(
        agent_id=message.agent_id,
        service=message.service,
        region=message.region,
        slots=message.slots,
        in_flight=_count_running(state, message.agent_id),
    )
    return commands + _tell_requests(message, message.agent_id, state, now)


@decide.register
def _(message: AgentDetached, state: RequestState, now: float) -> list[Command]:
    state.endpoints.pop(message.agent_id, None)
    return _tell_requests(message, message.agent_id, state, now)


@decide.register
def _(message: AgentLeaving, state: RequestState, now: float) -> list[Command]:
    endpoint = state.endpoints.get(message.agent_id)
    if endpoint is not None:
        endpoint.leaving = True
    return []


def _tell_requests(
    message: Message, agent_id: str, state: RequestState, now: float
) -> list[Command]:
    commands: list[Command] = []
    for request in list(state.requests.values()):
        if request.agent_id == agent_id:
            commands += request.lifecycle.handle(message, state, request, now)
    return commands


def _count_running(state: RequestState, agent_id: str) -> int:
    requests = state.requests.values()
    return sum(r.holds_endpoint and r.agent_id == agent_id for r in requests)
