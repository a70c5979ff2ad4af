"""Simulate an entry and its agents for the request benchmark.

The simulation runs the product's request and permit decisions on the fake timer
service, without processes or sockets.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch
from random import Random

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.command import (
    CancelTimer,
    Command,
    ReadRows,
    SendToAgent,
    SetTimer,
    Transact,
)
from wasabispur_core.membership.member import FromAgent
from wasabispur_core.message import Message
from wasabispur_core.protocol import AttemptCompleted, AttemptNotRun, Reason
from wasabispur_core.requests import permit, request
from wasabispur_core.requests.outcome import Outcome, ReplyToCaller
from wasabispur_core.requests.permit import (
    CallEndpoint,
    FromEntry,
    PermitState,
    SendToEntryLink,
)
from wasabispur_core.requests.permit_action import attempt_chart
from wasabispur_core.requests.request_chart import request_chart
from wasabispur_core.requests.request_message import AgentAttached, RequestReceived
from wasabispur_core.storage.store import Committed
from wasabispur_core.timer import FakeTimerService, Subscription

from .bench_policy import build_state

LATENCY = 0.001
"""Seconds of fake time for a message between entry and agent, or a store call."""

SERVICE_TIME = 0.4
"""Mean run time in seconds; run times are exponentially distributed."""

SLOTS = 8
"""Requests that each endpoint runs at the same time."""


@dataclass(slots=True)
class RequestRecord:
    """Record the course of one request; times are in seconds of fake time."""

    work_class: str
    caller: str
    arrived: float
    started: float | None = None
    ended: float | None = None
    outcome: Outcome | None = None


@dataclass(slots=True)
class SimulatedAgent:
    """Represent a simulated agent with its endpoint.

    While endpoint_down is set, the endpoint refuses every connection.
    """

    agent_id: str
    state: PermitState
    timers: dict[str, Subscription] = field(default_factory=dict)
    endpoint_down: bool = False


class World:
    """Simulate one entry with its agents and record all requests."""

    def __init__(self, policy: str, endpoints: int, seed: int) -> None:
        catalogue = ChartCatalogue()
        self.clock = FakeTimerService()
        self.random = Random(seed)
        self.state = build_state(policy, request_chart(catalogue), Random(seed))
        self.timers: dict[str, Subscription] = {}
        self.records: dict[str, RequestRecord] = {}
        self.agents: dict[str, SimulatedAgent] = {}
        self.attempts = 0
        chart = attempt_chart(catalogue)
        for number in range(endpoints):
            agent_id = f"a{number}"
            self.agents[agent_id] = SimulatedAgent(
                agent_id, PermitState(SLOTS, chart, 1)
            )
            self.deliver_to_entry(
                AgentAttached(
                    agent_id=agent_id, service="s", region="here", slots=SLOTS
                )
            )

    @property
    def capacity(self) -> float:
        """Return the requests per second that the endpoints can run."""
        return len(self.agents) * SLOTS / SERVICE_TIME

    def submit(self, work_class: str, caller: str, deadline: float) -> None:
        """Deliver a new request to the entry; deadline is in seconds from now."""
        request_id = f"r{len(self.records)}"
        self.records[request_id] = RequestRecord(work_class, caller, self.clock.now())
        self.deliver_to_entry(
            RequestReceived(
                request_id=request_id,
                organisation=caller,
                work_class=work_class,
                service="s",
                method="POST",
                path="/",
                headers={},
                body=b"",
                deadline=deadline,
                idempotency_key=request_id,
            )
        )

    def later(
        self, delay: float, message: Message, agent: SimulatedAgent | None
    ) -> Subscription:
        """Deliver a message after a delay in seconds; to the entry if agent is None."""

        def receive(received: Message) -> None:
            if agent is None:
                self.deliver_to_entry(received)
            else:
                self.deliver_to_agent(agent, received)

        return self.clock.subscribe(delay, receive, message)

    def deliver_to_entry(self, message: Message) -> None:
        """Pass a message to the entry's decisions and execute their commands."""
        for command in request.decide(message, self.state, self.clock.now()):
            execute(command, self, None)

    def deliver_to_agent(self, agent: SimulatedAgent, message: Message) -> None:
        """Pass a message to an agent's decisions and execute their commands."""
        for command in permit.decide(message, agent.state, self.clock.now()):
            execute(command, self, agent)


@singledispatch
def execute(command: Command, world: World, agent: SimulatedAgent | None) -> None:
    """Execute one command of an agent, or of the entry if agent is None."""
    raise NotImplementedError(type(command).__name__)


@execute.register
def _(command: SendToAgent, world: World, agent: SimulatedAgent | None) -> None:
    message = FromEntry(entry_id="entry", message=command.message)
    world.later(LATENCY, message, world.agents[command.agent_id])


@execute.register
def _(command: SendToEntryLink, world: World, agent: SimulatedAgent) -> None:
    message = FromAgent(agent_id=agent.agent_id, message=command.message)
    world.later(LATENCY, message, None)


@execute.register
def _(command: SetTimer, world: World, agent: SimulatedAgent | None) -> None:
    timers = world.timers if agent is None else agent.timers
    timers[command.timer_id] = world.later(command.delay, command.message, agent)


@execute.register
def _(command: CancelTimer, world: World, agent: SimulatedAgent | None) -> None:
    timers = world.timers if agent is None else agent.timers
    subscription = timers.pop(command.timer_id, None)
    if subscription is not None:
        subscription.cancel()


@execute.register
def _(command: Transact, world: World, agent: SimulatedAgent | None) -> None:
    transaction = command.transaction
    versions = {write.key: 1 for write in transaction.writes}
    result = Committed(operation_id=transaction.operation_id, versions=versions)
    world.later(LATENCY, result, None)


@execute.register
def _(command: ReadRows, world: World, agent: SimulatedAgent | None) -> None:
    raise NotImplementedError("no claim conflicts in the benchmark, so no row is read")


@execute.register
def _(command: ReplyToCaller, world: World, agent: SimulatedAgent | None) -> None:
    record = world.records[command.request_id]
    record.ended = world.clock.now()
    record.outcome = command.outcome


@execute.register
def _(command: CallEndpoint, world: World, agent: SimulatedAgent) -> None:
    attempt_id = command.start.attempt_id
    world.attempts += 1
    if agent.endpoint_down:
        refused = AttemptNotRun(attempt_id=attempt_id, reason=Reason.CONNECT_FAILED)
        world.later(LATENCY, refused, agent)
        return
    record = world.records[attempt_id.rpartition(".")[0]]
    record.started = world.clock.now()
    done = AttemptCompleted(attempt_id=attempt_id, status=200, headers={}, body=b"")
    world.later(world.random.expovariate(1 / SERVICE_TIME), done, agent)
