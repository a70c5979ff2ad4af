"""Simulate the network between one entry and its agents for tests."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache, singledispatchmethod
from pathlib import Path
from random import Random

from wasabispur_core.chart import Chart, ChartCatalogue
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
from wasabispur_core.protocol import (
    AttemptCompleted,
    AttemptNotRun,
    AttemptUnknown,
    Reason,
    StartAttempt,
)
from wasabispur_core.requests import permit, request
from wasabispur_core.requests.outcome import Outcome, ReplyToCaller
from wasabispur_core.requests.permit import (
    CallEndpoint,
    FromEntry,
    PermitState,
    SendToEntryLink,
)
from wasabispur_core.requests.permit_action import attempt_chart
from wasabispur_core.requests.request import RequestState
from wasabispur_core.requests.request_chart import request_chart
from wasabispur_core.requests.request_message import (
    AgentAttached,
    AgentDetached,
    RequestReceived,
)
from wasabispur_core.timer import FakeSubscription, FakeTimerService

from .fake_table import FakeTable

ENTRY = "entry"
SERVICE = "tag-composer"


@dataclass
class Packet:
    """Represent one message in transit."""

    agent_id: str
    to_agent: bool
    message: Message


@dataclass
class AgentNode:
    """Represent the process of one agent."""

    agent_id: str
    state: PermitState
    paused: bool = False
    inbox: list[Message] = field(default_factory=list)
    calls: dict[str, StartAttempt] = field(default_factory=dict)
    timers: dict[str, FakeSubscription] = field(default_factory=dict)


@cache
def bound_chart(bind: Callable[[ChartCatalogue], Chart], charts: Path | None) -> Chart:
    """Return a bound chart; its file is read once for all networks."""
    return bind(ChartCatalogue(charts))


class Network:
    """Simulate one entry, several agents and the messages between them."""

    def __init__(
        self,
        agents: int = 2,
        charts: Path | None = None,
        table: FakeTable | None = None,
        name: str = "r",
    ) -> None:
        self.name = name
        self.table = table or FakeTable()
        self.table_mode = "normal"
        self.table_calls: list[Transact | ReadRows] = []
        self.bodies: dict[str, bytes] = {}
        self.attempt_chart = bound_chart(attempt_chart, charts)
        self.clock = FakeTimerService()
        self.entry = RequestState(
            "region", bound_chart(request_chart, charts), Random(1)
        )
        self.entry_timers: dict[str, FakeSubscription] = {}
        self.incarnations = 0
        self.agents = {f"a{n}": self.new_agent(f"a{n}") for n in range(agents)}
        self.packets: list[Packet] = []
        self.runs: Counter[str] = Counter()
        self.replies: dict[str, list[ReplyToCaller]] = {}
        self.classes: dict[str, str] = {}
        self.checks_length = True
        for agent_id in self.agents:
            self.attach(agent_id)

    def new_agent(self, agent_id: str) -> AgentNode:
        """Return a freshly started agent."""
        self.incarnations += 1
        state = PermitState(2, self.attempt_chart, self.incarnations)
        return AgentNode(agent_id, state)

    # Callers

    def submit(
        self,
        work_class: str = "urgent",
        deadline: float = 10.0,
        key: str = "",
        body=b"",
    ) -> str:
        """Send a request and return its id; the key is also its body by default."""
        request_id = f"{self.name}{len(self.classes)}"
        self.bodies[request_id] = body or (key or request_id).encode()
        self.classes[request_id] = work_class
        self.tell_entry(
            RequestReceived(
                request_id=request_id,
                organisation="peachtree",
                work_class=work_class,
                service=SERVICE,
                method="POST",
                path="/",
                headers={},
                body=self.bodies[request_id],
                deadline=deadline,
                idempotency_key=key or request_id,
            )
        )
        return request_id

    def outcome(self, request_id: str) -> Outcome | None:
        """Return the outcome that the caller was told, or None."""
        replies = self.replies.get(request_id)
        return replies[0].outcome if replies else None

    # Entry and agents

    def tell_entry(self, message: Message) -> None:
        """Pass a message to the entry and execute the resulting commands."""
        for command in request.decide(message, self.entry, self.clock.now()):
            self.execute(command, None)

    def tell_agent(self, node: AgentNode, message: Message) -> None:
        """Pass a message to an agent, or queue it while the agent is paused."""
        if self.agents.get(node.agent_id) is not node:
            return
        if node.paused:
            node.inbox.append(message)
            return
        for command in permit.decide(message, node.state, self.clock.now()):
            self.execute(command, node)

    @singledispatchmethod
    def execute(self, command: Command, node: AgentNode | None) -> None:
        """Execute one command of the entry or of an agent."""
        raise AssertionError(command)

    @execute.register
    def _(self, command: SendToAgent, node: AgentNode | None) -> None:
        self.packets.append(Packet(command.agent_id, True, command.message))

    @execute.register
    def _(self, command: SendToEntryLink, node: AgentNode) -> None:
        self.packets.append(Packet(node.agent_id, False, command.message))

    @execute.register
    def _(self, command: SetTimer, node: AgentNode | None) -> None:
        timers = self.entry_timers if node is None else node.timers

        def fire(message: Message) -> None:
            if node is None:
                self.tell_entry(message)
            else:
                self.tell_agent(node, message)

        timers[command.timer_id] = self.clock.subscribe(
            command.delay, fire, command.message
        )

    @execute.register
    def _(self, command: CancelTimer, node: AgentNode | None) -> None:
        timers = self.entry_timers if node is None else node.timers
        subscription = timers.pop(command.timer_id, None)
        if subscription is not None:
            subscription.cancel()

    @execute.register
    def _(self, command: ReplyToCaller, node: AgentNode | None) -> None:
        self.replies.setdefault(command.request_id, []).append(command)

    @execute.register
    def _(self, command: CallEndpoint, node: AgentNode) -> None:
        node.calls[command.start.attempt_id] = command.start
        self.runs[command.start.attempt_id.rpartition(".")[0]] += 1

    @execute.register(Transact)
    @execute.register(ReadRows)
    def _(self, command: Transact | ReadRows, node: AgentNode | None) -> None:
        self.table_calls.append(command)

    def answer_table(self, index: int = 0, mode: str = "") -> None:
        """Answer one pending call to the table service."""
        command = self.table_calls.pop(index)
        self.tell_entry(self.table.answer(command, mode or self.table_mode))

    # Endpoints

    def finish(self, agent_id: str, attempt_id: str, ending: str = "complete") -> None:
        """End a call to the endpoint."""
        node = self.agents[agent_id]
        start = node.calls.pop(attempt_id)
        if ending == "refused":
            self.runs[attempt_id.rpartition(".")[0]] -= 1
        self.tell_agent(node, self.result(start, ending))

    def result(self, start: StartAttempt, ending: str) -> Message:
        """Return the result that the endpoint client reports."""
        attempt_id = start.attempt_id
        if ending == "refused":
            return AttemptNotRun(attempt_id=attempt_id, reason=Reason.CONNECT_FAILED)
        if ending == "lost":
            return AttemptUnknown(attempt_id=attempt_id, reason=Reason.RESPONSE_LOST)
        body = response_to(start.body)
        if ending == "truncated":
            if self.checks_length:
                reason = Reason.RESPONSE_TRUNCATED
                return AttemptUnknown(attempt_id=attempt_id, reason=reason)
            body = body[:-1]
        return AttemptCompleted(
            attempt_id=attempt_id, status=200, headers={}, body=body
        )

    # Network

    def deliver(self, packet: Packet) -> None:
        """Deliver a message to its receiver."""
        if not packet.to_agent:
            self.tell_entry(FromAgent(agent_id=packet.agent_id, message=packet.message))
            return
        node = self.agents[packet.agent_id]
        self.tell_agent(node, FromEntry(entry_id=ENTRY, message=packet.message))

    @property
    def busy(self) -> bool:
        """Return whether any message or call is pending."""
        calls = any(node.calls for node in self.agents.values())
        return bool(self.packets or self.table_calls or calls)

    def settle(self) -> None:
        """Deliver messages in order until none is pending."""
        while self.packets or self.table_calls:
            while self.table_calls:
                self.answer_table()
            if self.packets:
                self.deliver(self.packets.pop(0))

    def attach(self, agent_id: str) -> None:
        """Open a new stream of an agent."""
        self.tell_entry(
            AgentAttached(agent_id=agent_id, service=SERVICE, region="region", slots=2)
        )

    def detach(self, agent_id: str) -> None:
        """End the stream of an agent; messages in transit are delayed."""
        self.tell_entry(AgentDetached(agent_id=agent_id))

    def restart(self, agent_id: str) -> None:
        """Crash and restart an agent; the results of its endpoint calls are lost."""
        node = self.agents[agent_id]
        for subscription in node.timers.values():
            subscription.cancel()
        self.detach(agent_id)
        self.agents[agent_id] = self.new_agent(agent_id)
        self.attach(agent_id)

    def resume(self, agent_id: str) -> None:
        """Resume an agent and pass it the messages that it received while paused."""
        node = self.agents[agent_id]
        node.paused = False
        inbox, node.inbox = node.inbox, []
        for message in inbox:
            self.tell_agent(node, message)


def response_to(body: bytes) -> bytes:
    """Return the only complete response to a request body."""
    return b"response to " + body
