"""Decide how an entry instance processes the requests that it receives.

The component of an entry instance (a front-end process) admits requests, dispatches
them to service endpoints through the agent of each endpoint, and follows each one with
the state chart request.yaml. Before an attempt starts, the agent grants it a permit,
which reserves a slot. An attempt whose outcome is unknown is resolved by a query to its
agent.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field
from functools import singledispatch
from random import Random

from ..action import Action, Guard
from ..chart import Chart, Lifecycle
from ..command import Command, SetTimer
from ..error import UnhandledMessageError
from ..membership.member import FromAgent
from ..message import Message
from ..protocol import AttemptCompleted, PermitId, Reason
from ..storage.store import ABSENT
from ..work_class import default_classes, WorkClass
from .admission import Admission, QueueKey
from .outcome import Outcome, ReplyToCaller
from .request_history import LookUpRequest, ReplyToLookup, RequestHistory, RequestStatus
from .request_message import (
    AgentAttached,
    AgentDetached,
    AgentLeaving,
    ClaimCheckDue,
    DeadlineReached,
    DispatchDue,
    RequestDispatched,
    RequestReceived,
    ResolveTimedOut,
    RetryDue,
)
from .retry import RetryBudget
from .routing import choose_endpoint, EndpointView, SpillBudget

DISPATCH_INTERVAL = 0.1
"""Seconds between two dispatches of a service while requests wait."""


@dataclass(slots=True)
class Request:
    """Represent one request in progress.

    The deadline and the start of the current attempt are in monotonic seconds of
    this process. Later attempts avoid the agents that were tried. holds_endpoint is
    set while the request occupies a slot, may_have_run if an attempt ended without
    proof that it did not run. claim_version is the version of the row that claims the
    idempotency key, or ABSENT, and claim_checks counts the delayed reads of that row.
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
    started: float = 0.0
    claim_version: int = ABSENT
    claim_checks: int = 0
    operations: int = 0
    response: AttemptCompleted | None = None

    @property
    def attempt_id(self) -> str:
        """Return the id of the current attempt."""
        return f"{self.received.request_id}.{self.attempts}"

    @property
    def queue_key(self) -> QueueKey:
        """Return the key of the queue that the request belongs to."""
        received = self.received
        return QueueKey(
            received.service,
            self.work_class.name,
            f"{received.organisation}/{received.caller}",
        )

    @property
    def operation_id(self) -> str:
        """Return the id of the latest call to the table service."""
        return f"{self.received.request_id}/{self.operations}"

    def next_operation_id(self) -> str:
        """Return a new id for a call to the table service."""
        self.operations += 1
        return self.operation_id


@dataclass(slots=True)
class RequestState:
    """Represent the requests in progress and the endpoints that an entry knows."""

    region: str
    chart: Chart
    random: Random
    requests: dict[str, Request] = field(default_factory=dict)
    endpoints: dict[str, EndpointView] = field(default_factory=dict)
    classes: dict[str, WorkClass] = field(default_factory=default_classes)
    retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)
    history: RequestHistory = field(default_factory=RequestHistory)
    admission: Admission = field(default_factory=Admission)
    spill_budget: SpillBudget = field(default_factory=SpillBudget)
    dispatch_timers: set[str] = field(default_factory=set)

    def choose(
        self, service: str, now: float, avoided: Set[str] = frozenset()
    ) -> EndpointView | None:
        """Return the endpoint for the next request of a service, or None."""
        # A request may spill over to another region unless the budget is overdrawn,
        # which asking for zero bytes checks.
        return choose_endpoint(
            self.endpoints.values(),
            service,
            self.region,
            self.random,
            now,
            avoided,
            allow_remote=self.spill_budget.allows(0, now),
        )

    def budget(self, work_class: WorkClass) -> RetryBudget:
        """Return the retry budget of a class."""
        budget = self.retry_budgets.get(work_class.name)
        if budget is None:
            budget = RetryBudget(work_class.retry_budget)
            self.retry_budgets[work_class.name] = budget
        return budget


class RequestAction(Action[RequestState, Request]):
    """Define an action of the request's state chart."""

    __slots__ = ()


class RequestGuard(Guard[RequestState, Request]):
    """Define a guard of the request's state chart."""

    __slots__ = ()


@singledispatch
def decide(message: Message, state: RequestState, now: float) -> list[Command]:
    """Return the commands that a message to the request component causes."""
    raise UnhandledMessageError(
        f"the request component does not handle {type(message).__name__}",
        "send the message to the component that handles it",
    )


@decide.register
def _(message: RequestReceived, state: RequestState, now: float) -> list[Command]:
    work_class = state.classes.get(message.work_class)
    if work_class is None:
        return [_reject(message, state, Reason.UNKNOWN_CLASS)]
    if not work_class.idempotent and not message.idempotency_key:
        return [_reject(message, state, Reason.KEY_MISSING)]
    request = Request(
        received=message,
        work_class=work_class,
        lifecycle=state.chart.start(),
        deadline=now + message.deadline,
    )
    state.requests[message.request_id] = request
    timer = SetTimer(
        timer_id=message.request_id,
        delay=message.deadline,
        message=DeadlineReached(request_id=message.request_id),
    )
    return [timer, *handle_request_event(message, state, request, now)]


@decide.register
def _(message: LookUpRequest, state: RequestState, now: float) -> list[Command]:
    status = state.history.ended.get(message.request_id)
    request = state.requests.get(message.request_id)
    if status is None and request is not None:
        status = RequestStatus(
            request_id=message.request_id,
            state=request.lifecycle.state,
            outcome=None,
        )
    return [ReplyToLookup(lookup_id=message.lookup_id, status=status)]


@decide.register(DeadlineReached)
@decide.register(RetryDue)
@decide.register(ClaimCheckDue)
def _(
    message: DeadlineReached | RetryDue | ClaimCheckDue,
    state: RequestState,
    now: float,
) -> list[Command]:
    request = state.requests.get(message.request_id)
    if request is None:
        return []
    return handle_request_event(message, state, request, now)


@decide.register
def _(message: ResolveTimedOut, state: RequestState, now: float) -> list[Command]:
    request = state.requests.get(message.request_id)
    if request is None or request.attempt_id != message.attempt_id:
        return []
    return handle_request_event(message, state, request, now)


@decide.register
def _(message: FromAgent, state: RequestState, now: float) -> list[Command]:
    reply = message.message
    attempt_id = getattr(reply, "attempt_id", "")
    request = state.requests.get(attempt_id.rpartition(".")[0])
    if request is None or request.attempt_id != attempt_id:
        return []
    # Only the agent to which the attempt was sent may report its result.
    if request.agent_id != message.agent_id:
        return []
    return handle_request_event(reply, state, request, now)


@decide.register
def _(message: AgentAttached, state: RequestState, now: float) -> list[Command]:
    # A new stream may replace one whose end was not reported. Messages in flight on
    # the former stream are lost, so the requests of the agent handle its end first.
    detached = AgentDetached(agent_id=message.agent_id)
    commands = _notify_requests(detached, message.agent_id, state, now)
    state.endpoints[message.agent_id] = EndpointView(
        agent_id=message.agent_id,
        service=message.service,
        region=message.region,
        slots=message.slots,
        in_flight=_count_running(state, message.agent_id),
    )
    commands += _notify_requests(message, message.agent_id, state, now)
    return commands + dispatch(state, message.service, now)


@decide.register
def _(message: DispatchDue, state: RequestState, now: float) -> list[Command]:
    state.dispatch_timers.discard(message.service)
    return dispatch(state, message.service, now)


@decide.register
def _(message: AgentDetached, state: RequestState, now: float) -> list[Command]:
    endpoint = state.endpoints.pop(message.agent_id, None)
    commands = _notify_requests(message, message.agent_id, state, now)
    if endpoint is None:
        return commands
    return commands + dispatch(state, endpoint.service, now)


@decide.register
def _(message: AgentLeaving, state: RequestState, now: float) -> list[Command]:
    endpoint = state.endpoints.get(message.agent_id)
    if endpoint is not None:
        endpoint.leaving = True
    return []


def _reject(
    message: RequestReceived, state: RequestState, reason: Reason
) -> ReplyToCaller:
    reply = ReplyToCaller(
        request_id=message.request_id, outcome=Outcome.NOT_RUN, reason=reason.value
    )
    state.history.add(reply)
    return reply


def handle_request_event(
    message: Message, state: RequestState, request: Request, now: float
) -> list[Command]:
    """Apply an event to a request, then dispatch requests that wait for a slot."""
    commands = _apply_event(message, state, request, now)
    return commands + dispatch(state, request.received.service, now)


def _apply_event(
    message: Message, state: RequestState, request: Request, now: float
) -> list[Command]:
    commands = request.lifecycle.handle(message, state, request, now)
    if request.lifecycle.final:
        state.requests.pop(request.received.request_id, None)
    return commands


def dispatch(state: RequestState, service: str, now: float) -> list[Command]:
    """Dispatch waiting requests of a service to endpoints with capacity."""
    commands: list[Command] = []
    while state.choose(service, now) is not None:
        slots = sum(
            endpoint.slots
            for endpoint in state.endpoints.values()
            if endpoint.service == service
        )
        request_id = state.admission.take(service, slots, now)
        if request_id is None:
            return commands
        dispatched = RequestDispatched(request_id=request_id)
        commands += _apply_event(dispatched, state, state.requests[request_id], now)
    if service in state.dispatch_timers or not state.admission.has_waiting(service):
        return commands
    # An endpoint is paused after a refusal and ejected after repeated failures. Both
    # end, and the spill budget refills, without a message, so a timer repeats the
    # dispatch.
    state.dispatch_timers.add(service)
    timer = SetTimer(
        timer_id=f"dispatch/{service}",
        delay=DISPATCH_INTERVAL,
        message=DispatchDue(service=service),
    )
    return [*commands, timer]


def _notify_requests(
    message: Message, agent_id: str, state: RequestState, now: float
) -> list[Command]:
    commands: list[Command] = []
    for request in list(state.requests.values()):
        if request.agent_id == agent_id:
            commands += _apply_event(message, state, request, now)
    return commands


def _count_running(state: RequestState, agent_id: str) -> int:
    requests = state.requests.values()
    return sum(r.holds_endpoint and r.agent_id == agent_id for r in requests)
