"""Execute the orders of the workload plane at the workers beside the agent."""

from __future__ import annotations

from returns.result import Failure

from wasabispur_core.log_event import ROW_REFUSED
from wasabispur_core.storage.circuit import ServiceReachable, ServiceUnreachable
from wasabispur_core.storage.feed import FeedHealth, RowsChanged, TableDelivered
from wasabispur_core.storage.store import Row
from wasabispur_core.timer import TimerService
from wasabispur_core.workload.agent.health_check import CheckHealth
from wasabispur_core.workload.agent.runner import decide
from wasabispur_core.workload.agent.runner_message import (
    ListRuns,
    RunnerTick,
    StartRun,
    StopRun,
)
from wasabispur_core.workload.agent.runner_state import RunnerState
from wasabispur_core.workload.owner.fleet_message import TableReady
from wasabispur_core.workload.rows import order_prefix, order_table, unpack
from wasabispur_core.workload.workers.worker import OrdersArrived, WorkerOrders
from wasabispur_runtime.actor import Actor
from wasabispur_runtime.decision_actor import DecisionActor, execute
from wasabispur_runtime.log import log
from wasabispur_runtime.table_feed import FeedFactory

from .worker_caller import WorkerCaller


class FleetRunner(DecisionActor):
    """Execute orders at the workers, and report the state of their runs."""

    def __init__(
        self,
        timers: TimerService,
        state: RunnerState,
        table: Actor,
        worker: WorkerCaller,
        feeds: FeedFactory,
    ) -> None:
        super().__init__("fleet-runner", timers, state, decide)
        self.agent_id = state.agent_id
        self.table = table
        self.worker = worker
        self.feed = feeds.create(
            order_table(self.agent_id),
            (order_prefix(self.agent_id),),
            self.post_urgent,
        )

    async def opened(self) -> None:
        """Start the feed of orders and the periodic tick."""
        self.feed.start()
        self.post(RunnerTick())

    async def closed(self) -> None:
        """Stop the feed."""
        await self.feed.close()

    def on_table_delivered(self, message: TableDelivered) -> None:
        """Apply all orders in the agent's table."""
        for row in message.rows:
            self._apply_row(row)
        self.on_message(TableReady(table=message.table))

    def on_rows_changed(self, message: RowsChanged) -> None:
        """Apply the orders that changed."""
        for row in message.rows:
            self._apply_row(row)

    def on_feed_health(self, message: FeedHealth) -> None:
        """Report to the table client whether the store is reachable.

        During an outage, runs continue under leases that the agent renews itself.
        """
        self.table.post(ServiceReachable() if message.healthy else ServiceUnreachable())

    def _apply_row(self, row: Row) -> None:
        orders = unpack(WorkerOrders, row.value)
        if isinstance(orders, Failure):
            log(ROW_REFUSED, key=row.key, error=str(orders.failure()))
            return
        self.on_message(OrdersArrived(orders=orders.unwrap()))


@execute.register(CheckHealth)
@execute.register(ListRuns)
@execute.register(StartRun)
@execute.register(StopRun)
def _(command: CheckHealth | ListRuns | StartRun | StopRun, actor: FleetRunner) -> None:
    actor.worker.post(command)
