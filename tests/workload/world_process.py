"""Simulate the processes of the system: entries, agents and their feeds."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any, TYPE_CHECKING

from wasabispur.fleet_rows import decode_removal, decode_rows
from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.command import (
    CancelTimer,
    Command,
    ReadRows,
    SetTimer,
    Transact,
    WriteLog,
)
from wasabispur_core.log_event import SCHEDULER_FAILED
from wasabispur_core.message import Message
from wasabispur_core.sharding.ownership import Ownership
from wasabispur_core.sharding.ownership_action import ownership_chart
from wasabispur_core.sharding.shard import decide as decide_shard, Shard, ShardTick
from wasabispur_core.storage.feed import RowsChanged, TableDelivered
from wasabispur_core.storage.store import (
    Row,
    RowsRead,
    RowsUnavailable,
)
from wasabispur_core.workload.agent import runner
from wasabispur_core.workload.agent.lease_clock import owner_horizon
from wasabispur_core.workload.agent.run_action import ordered_run_chart
from wasabispur_core.workload.agent.runner_message import (
    RunnerTick,
    RunsListed,
    WorkerCall,
)
from wasabispur_core.workload.agent.runner_state import (
    LeaseTimes,
    RunnerState,
)
from wasabispur_core.workload.intake import intake
from wasabispur_core.workload.intake.call_chart import call_charts
from wasabispur_core.workload.intake.intake_message import (
    AnswerCaller,
    CancelJob,
    ReadJob,
    SubmitJob,
)
from wasabispur_core.workload.intake.intake_state import IntakeState
from wasabispur_core.workload.jobs.unit_stop import CountWaste
from wasabispur_core.workload.owner import scheduler
from wasabispur_core.workload.owner.fleet_message import (
    ClocksRead,
    FleetTick,
)
from wasabispur_core.workload.policies.cordon import CordonsChanged
from wasabispur_core.workload.policies.policy import (
    PolicyChanged,
    PolicyHealth,
)
from wasabispur_core.workload.rows import order_prefix, order_table, ROWS_SCHEMA, unpack
from wasabispur_core.workload.watch import StopWatching, WatchTables
from wasabispur_core.workload.workers.worker import EndKind, OrdersArrived, WorkerOrders
from wasabispur_runtime.operator_row_watcher import OperatorRowWatcher

if TYPE_CHECKING:
    from .world import World

CATALOGUE = ChartCatalogue()
CALL_CHARTS = call_charts(CATALOGUE)
RUN_CHART = ordered_run_chart(CATALOGUE)
TIMES = LeaseTimes(max_duration=6.0, horizon=12.0)

STORE_LATENCY = 0.01
"""Seconds until the store answers."""


class Process:
    """Represent a simulated process, which can be killed, paused and partitioned."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.alive = True
        self.paused = False
        self.partitioned = False
        self.queued_messages: list[Message] = []
        self.timers: dict[str, Any] = {}
        self.logs: list[int] = []
        self.records: list[WriteLog] = []

    def post(self, message: Message) -> None:
        """Deliver a message, or queue it while the process is paused."""
        if not self.alive:
            return
        if self.paused:
            self.queued_messages.append(message)
            return
        for command in self.decide(message):
            self.execute(command)

    def decide(self, message: Message) -> list[Command]:
        """Handle a message, and return the resulting commands."""
        raise NotImplementedError

    def resume(self) -> None:
        """End a pause, and deliver the messages queued in the meantime."""
        self.paused = False
        queued_messages, self.queued_messages = self.queued_messages, []
        for message in queued_messages:
            self.post(message)

    def post_later(self, delay: float, message: Message) -> Any:
        """Deliver a message to this process after a delay in seconds."""
        return self.world.timers.subscribe(delay, self.post, message)

    @singledispatchmethod
    def execute(self, command: Command) -> None:
        """Execute one command."""
        raise TypeError(type(command).__name__)

    @execute.register
    def _(self, command: SetTimer) -> None:
        self.execute(CancelTimer(timer_id=command.timer_id))
        self.timers[command.timer_id] = self.post_later(command.delay, command.message)

    @execute.register
    def _(self, command: CancelTimer) -> None:
        timer = self.timers.pop(command.timer_id, None)
        if timer is not None:
            timer.cancel()

    @execute.register
    def _(self, command: WriteLog) -> None:
        self.logs.append(command.number)
        self.records.append(command)
        if command.number == SCHEDULER_FAILED.number:
            assert self.world.scheduler_may_fail, command.fields

    @execute.register
    def _(self, command: CountWaste) -> None:
        self.world.waste.append(command)

    @execute.register
    def _(self, command: Transact) -> None:
        self.world.transact(self, command)

    @execute.register
    def _(self, command: ReadRows) -> None:
        store = self.world.store
        answer: Message
        if store.down or self.partitioned:
            answer = RowsUnavailable(read_id=command.read_id, reason="fault")
        else:
            answer = RowsRead(read_id=command.read_id, rows=store.under(command.prefix))
        self.post_later(STORE_LATENCY, answer)

    @execute.register
    def _(self, command: WatchTables) -> None:
        self.world.watch(self, {*command.watched, *command.read})

    @execute.register
    def _(self, command: StopWatching) -> None:
        self.world.store.listeners.pop(self, None)

    @execute.register
    def _(self, command: AnswerCaller) -> None:
        self.world.answers[command.call_id] = command

    @execute.register
    def _(self, command: WorkerCall) -> None:
        self.world.call_worker(self, command)

    def apply_rows(self, rows: tuple[Row, ...], removed: tuple[str, ...]) -> None:
        """Apply rows that changed or were removed."""


class Entry(Process):
    """Represent the decisions of one entry."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        ownership = Ownership(
            name,
            "main",
            ownership_chart(CATALOGUE).start(),
            world.new_operation_id,
            lease_time=2.0,
            renewal_interval=0.5,
            schema=ROWS_SCHEMA,
        )
        state = scheduler.new_fleet_state(
            CATALOGUE,
            owner_horizon(TIMES),
            lease=ownership.lease,
            fair_shares=world.fair_shares,
        )
        self.shard = Shard(
            ownership, state, scheduler.decide, FleetTick(), tick_interval=0.25
        )
        self.fleet = state
        self.intake = IntakeState(
            charts=CALL_CHARTS, new_operation_id=world.new_operation_id
        )
        self.post(PolicyChanged(policy=world.policy))
        self.post_clocks()
        self.post(ShardTick())
        if world.cordons:
            world.operator_feeds.append(OperatorFeed(world, self))

    def post_clocks(self) -> None:
        now = self.world.timers.now()
        self.post(ClocksRead(store_time=now, wall_time=now))

    def decide(self, message: Message) -> list[Command]:
        now = self.world.timers.now()
        asks = (SubmitJob, CancelJob, ReadJob)
        if isinstance(message, asks) or _is_for(message, self.intake.operations):
            commands = intake.decide(message, self.intake, now)
            calls = (isinstance(one, (ReadRows, Transact)) for one in commands)
            self.world.intake_calls += sum(calls)
            return commands
        commands = decide_shard(message, self.shard, now)
        if isinstance(
            message, (PolicyChanged, PolicyHealth, ClocksRead, CordonsChanged)
        ):
            commands += intake.decide(message, self.intake, now)
        return commands

    def apply_rows(self, rows: tuple[Row, ...], removed: tuple[str, ...]) -> None:
        self.post_clocks()
        for message in decode_rows(rows):
            self.post(message)
        for key in removed:
            message = decode_removal(key)
            if message is not None:
                self.post(message)


class Agent(Process):
    """Represent the decisions of one agent."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.state = RunnerState(
            agent_id=name,
            times=TIMES,
            run_chart=RUN_CHART,
            new_operation_id=world.new_operation_id,
            cordons=world.cordons,
            policy=world.policy,
            health_times=world.health_times,
        )
        world.watch(self, {order_table(name)}, order_prefix(name))
        self.post(RunnerTick())
        if world.cordons:
            world.operator_feeds.append(OperatorFeed(world, self))

    def decide(self, message: Message) -> list[Command]:
        if isinstance(message, RunsListed):
            done = (end.task for end in message.ended if end.kind is EndKind.DONE)
            self.world.listed.update(done)
        return runner.decide(message, self.state, self.world.timers.now())

    def apply_rows(self, rows: tuple[Row, ...], removed: tuple[str, ...]) -> None:
        for row in rows:
            self.post(OrdersArrived(orders=unpack(WorkerOrders, row.value).unwrap()))


def _is_for(message: Message, operations: dict[str, str]) -> bool:
    names = (getattr(message, "operation_id", ""), getattr(message, "read_id", ""))
    return any(name in operations for name in names)


class OperatorFeed:
    """Represent a process's feed of the operators' rows; a blocked one gets none."""

    def __init__(self, world: World, process: Process) -> None:
        self.process = process
        self.blocked = process.name in world.unserved_operator_feeds
        self.rows: dict[str, Row] = {}
        self.read = False
        self.watcher = OperatorRowWatcher(
            world.timers,
            lambda row: None,
            lambda receiver: None,  # type: ignore[arg-type, return-value]
            (process,),  # type: ignore[arg-type]
            process,  # type: ignore[arg-type]
            lambda key: key.partition("evacuate/")[2],
        )
        world.watch(self, {"op"}, "op//")  # type: ignore[arg-type]

    @property
    def alive(self) -> bool:
        return self.process.alive

    @property
    def partitioned(self) -> bool:
        return self.process.partitioned or self.blocked

    def apply_rows(self, rows: tuple[Row, ...], removed: tuple[str, ...]) -> None:
        changed = RowsChanged(table="op", rows=rows, removed=removed, store_time=0.0)
        self.rows.update((row.key, row) for row in rows)
        for key in removed:
            self.rows.pop(key, None)
        if self.read:
            self.watcher.on_rows_changed(changed)

    def post(self, message: Message) -> None:
        """Deliver the table once the first read has ended."""
        self.read = True
        world = self.process.world
        delivered = TableDelivered(
            table="op",
            rows=tuple(self.rows.values()),
            version=world.store.version,
            store_time=world.timers.now(),
            again=False,
        )
        self.watcher.on_table_delivered(delivered)
