"""Check the transaction decisions against a model of an unreliable service."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random

from hypothesis import given, settings, strategies as st

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.command import CancelTimer, SetTimer
from wasabispur_core.storage.circuit import Circuit, FAILURE_LIMIT, OPEN_TIME_LIMIT
from wasabispur_core.storage.store import (
    ABSENT,
    Committed,
    Condition,
    Conflicted,
    Row,
    StoreUnavailable,
    Transaction,
    Write,
)
from wasabispur_core.storage.store_access import CALL_DEADLINE, CallQueue, StoreAccess
from wasabispur_core.storage.store_call import (
    CallLost,
    CallRefused,
    CallThrottled,
    ConditionsFailed,
    DeliverResult,
    RowsFound,
    SendLookup,
    SendTransaction,
    TransactionApplied,
    TransactionRequested,
)
from wasabispur_core.storage.table_access import decide, new_table_access
from wasabispur_core.storage.token_bucket import TokenBucket

ACCESS_TEMPLATE = new_table_access(ChartCatalogue(), Random(0))
"""Provides the charts, so that their files are parsed only once."""

ANSWERED, REFUSED, THROTTLED, LOST_BEFORE, LOST_AFTER, DELAYED = range(6)
"""Behaviours of the service for one call; a DELAYED call takes effect later."""

LATENCY = 0.01
"""Seconds until the service answers a call."""

DELAY = 3.0
"""Seconds until a DELAYED call takes effect."""


@dataclass
class Service:
    """Model the table service with one row, and count how often a write is applied."""

    row: Row | None = None
    version: int = 0
    applied: dict[str, int] = field(default_factory=dict)

    def apply(self, transaction: Transaction) -> int | None:
        """Apply a transaction and return the row's version, or None for a conflict."""
        current = self.row.version if self.row else ABSENT
        if current != transaction.conditions[0].version:
            return None
        operation_id = transaction.operation_id
        self.version += 1
        self.applied[operation_id] = self.applied.get(operation_id, 0) + 1
        self.row = Row(
            key="k", version=self.version, operation_id=operation_id, value={}
        )
        return self.version


def new_idle_access(random: Random) -> StoreAccess:
    """Return a store access without any calls."""
    circuit = Circuit(ACCESS_TEMPLATE.circuit.lifecycle.chart.start(), random)
    writes, reads = (
        CallQueue(
            call_queue.name,
            TokenBucket(call_queue.bucket.per_second, call_queue.bucket.per_second),
        )
        for call_queue in (ACCESS_TEMPLATE.writes, ACCESS_TEMPLATE.reads)
    )
    return StoreAccess(ACCESS_TEMPLATE.call_charts, circuit, random, writes, reads)


class Simulation:
    """Run the store access decisions against the model on a simulated clock."""

    def __init__(self, behaviours: list[int], overwrites: list[float]) -> None:
        self.service = Service()
        self.behaviours = list(behaviours)
        self.state = new_idle_access(Random(3))
        self.events: list = []
        self.sequence = 0
        self.cancelled: dict[str, int] = {}
        self.results: list = []
        self.sent: list[float] = []
        self.writes: list[float] = []
        self.now = 0.0
        for at in overwrites:
            self.schedule(at, self.overwrite)

    def schedule(self, at, function, *arguments, timer_id="") -> None:
        """Schedule a function call at a time."""
        self.sequence += 1
        if timer_id:
            self.cancelled[timer_id] = self.sequence
        heapq.heappush(self.events, (at, self.sequence, timer_id, function, arguments))

    def overwrite(self) -> None:
        """Replace the row as another client would."""
        if self.service.row is not None:
            version = self.service.row.version
            self.service.apply(transaction("other", version))
            self.service.applied.pop("other")

    def deliver(self, message) -> None:
        """Pass a message to the decisions and execute their commands."""
        for command in decide(message, self.state, self.now):
            self.execute(command)

    def execute(self, command) -> None:
        """Execute one command."""
        match command:
            case SetTimer():
                at = self.now + command.delay
                self.schedule(
                    at, self.deliver, command.message, timer_id=command.timer_id
                )
            case CancelTimer():
                self.cancelled.pop(command.timer_id, None)
            case DeliverResult():
                self.results.append(command.result)
            case _:
                self.sent.append(self.now)
                self.serve(command)

    def serve(self, command) -> None:
        """Schedule the answer to one call according to the next behaviour."""
        behaviour = self.behaviours.pop(0) if self.behaviours else ANSWERED
        at = self.now + LATENCY
        self.schedule(at, self.deliver, self.answer(command, behaviour))

    def answer(self, command, behaviour):
        """Apply the effect of a call, if it has one, and return the answer."""
        call_id = command.call_id
        if behaviour == REFUSED:
            return CallRefused(call_id=call_id, reason="down")
        if behaviour == THROTTLED:
            return CallThrottled(call_id=call_id, reason="rate")
        lost = CallLost(call_id=call_id, reason="lost")
        if isinstance(command, SendLookup):
            row = self.service.row
            found = RowsFound(call_id=call_id, rows=(row,) if row else ())
            return found if behaviour == ANSWERED else lost
        assert isinstance(command, SendTransaction)
        self.writes.append(self.now)
        if behaviour == LOST_BEFORE:
            return lost
        if behaviour == DELAYED:
            self.schedule(self.now + DELAY, self.service.apply, command.transaction)
            return lost
        version = self.service.apply(command.transaction)
        if behaviour == LOST_AFTER:
            return lost
        if version is None:
            return ConditionsFailed(call_id=call_id, keys=("k",))
        return TransactionApplied(call_id=call_id, versions={"k": version})

    def run(self, seconds: float) -> None:
        """Advance the time and run the due events."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, number, timer_id, function, arguments = heapq.heappop(self.events)
            if not timer_id or self.cancelled.get(timer_id) == number:
                function(*arguments)
        self.now = end


def transaction(operation_id: str = "op", version: int = ABSENT) -> Transaction:
    """Return a conditional write of the row."""
    return Transaction(
        operation_id=operation_id,
        conditions=(Condition(key="k", version=version),),
        writes=(Write(key="k", value={}),),
    )


def request(call_id: int, operation_id: str = "op") -> TransactionRequested:
    """Return a request for a conditional write."""
    return TransactionRequested(call_id=call_id, transaction=transaction(operation_id))


@settings(max_examples=400)
@given(
    behaviours=st.lists(st.integers(ANSWERED, DELAYED), max_size=12),
    overwrites=st.lists(st.floats(0.0, 8.0), max_size=3),
)
def test_result_agrees_with_the_effect_on_the_service(behaviours, overwrites):
    """Guard against a write that is applied twice, or reported wrongly."""
    simulation = Simulation(behaviours, overwrites)
    simulation.deliver(request(1))
    simulation.run(CALL_DEADLINE + DELAY + 1.0)
    (result,) = simulation.results
    applied = simulation.service.applied.get("op", 0)
    assert applied <= 1
    if isinstance(result, Committed):
        assert applied == 1
    if isinstance(result, Conflicted):
        assert applied == 0
    if isinstance(result, StoreUnavailable) and not result.uncertain:
        assert applied == 0
    assert not simulation.state.calls
    assert simulation.state.in_flight == 0


@settings(max_examples=100)
@given(outage=st.floats(2.0, 60.0), seed=st.integers(0, 1000))
def test_outage_gets_few_trial_calls_and_the_circuit_closes_afterwards(outage, seed):
    """Guard against a herd of calls in an outage and a client that stays shut."""
    simulation = Simulation([REFUSED] * 10_000, [])
    simulation.state.random.seed(seed)
    call_id = 0
    while simulation.now < outage:
        call_id += 1
        simulation.deliver(request(call_id, f"op{call_id}"))
        simulation.run(0.1)
    # Trial calls are at least OPEN_TIME_BASE apart, so at most two a second.
    trials = len(simulation.sent) - FAILURE_LIMIT
    assert trials <= 16 + 2 * outage
    assert call_id > FAILURE_LIMIT
    assert all(isinstance(r, StoreUnavailable) for r in simulation.results)
    simulation.behaviours = []
    simulation.run(OPEN_TIME_LIMIT)
    simulation.deliver(request(call_id + 1, "after"))
    simulation.run(CALL_DEADLINE)
    assert isinstance(simulation.results[-1], Committed)


def test_calls_that_waited_for_recovery_are_sent_at_the_rate_limit():
    """Guard against a burst of waiting calls when the service recovers."""
    simulation = Simulation([REFUSED] * FAILURE_LIMIT, [])
    for call_id in range(FAILURE_LIMIT):
        simulation.deliver(request(call_id, f"op{call_id}"))
    simulation.run(0.02)
    assert simulation.state.circuit.state == "open"
    simulation.run(OPEN_TIME_LIMIT)
    start = simulation.now
    for call_id in range(100, 160):
        simulation.deliver(request(call_id, f"op{call_id}"))
    simulation.run(0.5)
    # One trial call, then 50 calls a second from an empty token bucket.
    writes = [at for at in simulation.writes if at > start]
    assert 10 <= len(writes) <= 30
