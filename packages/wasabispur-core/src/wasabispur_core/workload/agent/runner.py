"""Decide at the agent which calls its worker gets and what is reported on it.

The runner of an agent reads the orders that the entry instance that owns the shard
writes for the worker, starts and stops runs at the worker accordingly, extends the
worker's lease, and writes the report on the worker that the owner reads. A restarted
worker is another incarnation, with a state of its own.
"""

from __future__ import annotations

from functools import singledispatch
from math import inf

from ...command import Command, SetTimer, WriteLog
from ...error import UnhandledMessageError
from ...log_event import REPORT_FAILED, WORKER_UNREACHABLE
from ...message import Message
from ...storage.store import (
    ABSENT,
    Committed,
    RowsRead,
    RowsUnavailable,
    StoreResult,
    StoreUnavailable,
)
from ..owner.fleet_message import ClocksRead, TableReady
from ..policies.cordon import CordonsChanged
from ..policies.policy import PolicyChanged, PolicyHealth
from ..rows import order_table, report_key, unpack
from ..workers.worker import OrdersArrived, WorkerReport, WorkerState
from .announcement import announcement_log, is_newer, is_other_offer, new_worker
from .former_run import bar_former_runs, inherit, learn_former_start
from .health_check import (
    begin_checks,
    handle_check_due,
    handle_health_answer,
    HealthAnswered,
    HealthCheckDue,
)
from .lease_clock import is_lease_over
from .report_writer import (
    delete_report,
    find_report_write,
    REPORT_RETRY_DELAY,
    run_snapshot,
    write_report,
)
from .run_action import list_runs_command
from .run_dispatch import (
    abandon_runs,
    apply_former_report,
    apply_orders,
    handle_run_event,
    reconcile_runs,
    run_context,
    start_pending_runs,
)
from .runner_cordon import apply_cordons, log_unread_cordons
from .runner_message import (
    ListFailed,
    ListRetryDue,
    RunAnswer,
    RunnerTick,
    RunRetryDue,
    RunsListed,
    WorkerAnnounced,
    WorkerLeft,
)
from .runner_state import ClockReading, ReportState, RunnerState
from .worker_contact import (
    advance,
    is_dead,
    is_expired,
    is_gone,
    LIST_RETRY_DELAY,
    mark_process_gone,
    mark_reachable,
    remove_worker,
)

TICK_INTERVAL = 0.25
"""Seconds between two checks for work that is due."""

LEASE_RENEWAL_SILENCE = 2.0
"""Seconds without a confirmed report after which a lease is renewed at once."""

UNREACHABLE_AFTER_FAILURES = 2
"""Consecutive failed requests for the lists after which a worker is unreachable.

One lost answer says little: the next request goes out on another connection.
"""

TICK_TIMER = "runner-tick"
WORKER_DEAD = "the worker's process is gone"
LEASE_EXPIRED = "the worker's lease is over"


@singledispatch
def decide(message: Message, state: RunnerState, now: float) -> list[Command]:
    """Update the runner's state for a message and return the resulting commands."""
    raise UnhandledMessageError(
        f"the runner does not handle {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide.register
def _(message: WorkerAnnounced, state: RunnerState, now: float) -> list[Command]:
    info = message.info
    worker = state.workers.get(info.worker_id)
    if worker is not None and not is_newer(message, worker):
        return []
    if info.worker_id not in state.reports:
        session = state.new_operation_id()
        state.reports[info.worker_id] = ReportState(session=session)
    report = state.reports[info.worker_id]
    commands: list[Command] = []
    if worker is None or worker.info.incarnation != info.incarnation:
        former = worker
        worker = state.workers[info.worker_id] = new_worker(info, state, now)
        if former is not None:
            inherit(worker, former)
        report.changed = True
        commands.append(announcement_log(info.worker_id, state))
        commands += begin_checks(worker, state)
        if state.orders_read:
            commands += apply_orders(worker, state, now)
            commands += bar_former_runs(worker, state, now)
    elif is_other_offer(info, worker):
        report.changed = True
        worker.departed = False
        worker.info = info
        commands.append(announcement_log(info.worker_id, state))
    worker.info = info
    worker.announced_at = now
    return [*commands, *apply_orders(worker, state, now), *advance(worker, state, now)]


@decide.register
def _(message: WorkerLeft, state: RunnerState, now: float) -> list[Command]:
    worker = state.workers.get(message.worker_id)
    if worker is None:
        return []
    # The call does not name its incarnation, and its sender may run on for seconds, so
    # that only the worker's silence shows that its runs ended.
    worker.departed = True
    state.reports[message.worker_id].changed = True
    return advance(worker, state, now)


@decide.register
def _(message: TableReady, state: RunnerState, now: float) -> list[Command]:
    if message.table != order_table(state.agent_id):
        return []
    commands: list[Command] = []
    if not state.orders_read:
        for worker in list(state.workers.values()):
            commands += bar_former_runs(worker, state, now)
        state.orders_read_at = now
    state.orders_read = True
    return [*commands, *_advance_all(state, now)]


@decide.register
def _(message: CordonsChanged, state: RunnerState, now: float) -> list[Command]:
    commands = apply_cordons(message, state)
    for worker in list(state.workers.values()):
        commands += start_pending_runs(worker, state, now)
    return [*commands, *_advance_all(state, now)]


@decide.register
def _(message: PolicyChanged, state: RunnerState, now: float) -> list[Command]:
    if message.policy.version > state.policy.version:
        state.policy = message.policy
    return []


@decide.register(PolicyHealth)
@decide.register(ClocksRead)
def _(
    message: PolicyHealth | ClocksRead, state: RunnerState, now: float
) -> list[Command]:
    # The last known cordons and configuration stay in force during an outage.
    return []


@decide.register
def _(message: OrdersArrived, state: RunnerState, now: float) -> list[Command]:
    orders = message.orders
    state.orders[orders.worker_id] = orders
    worker = state.workers.get(orders.worker_id)
    if worker is None:
        return []
    return [*apply_orders(worker, state, now), *advance(worker, state, now)]


@decide.register
def _(message: RunsListed, state: RunnerState, now: float) -> list[Command]:
    worker = state.workers.get(message.worker_id)
    if worker is None or worker.info.incarnation != message.incarnation:
        return []
    if message.recurring:
        worker.list_in_flight = False
    if message.sent_at < worker.list_requested_at:
        return advance(worker, state, now)
    commands = mark_reachable(worker, state)
    before = run_snapshot(worker)
    worker.list_requested_at = message.sent_at
    worker.list_count += 1
    worker.clock = ClockReading(time=message.clock, read_at=now)
    worker.runs = message.runs
    worker.ended = message.ended
    commands += reconcile_runs(worker, message.sent_at, state, now)
    state.reports[message.worker_id].changed |= before != run_snapshot(worker)
    return [*commands, *advance(worker, state, now)]


@decide.register
def _(message: ListFailed, state: RunnerState, now: float) -> list[Command]:
    worker = state.workers.get(message.worker_id)
    if worker is None or worker.info.incarnation != message.incarnation:
        return []
    if message.recurring:
        worker.list_in_flight = False
        # Only recurring requests are made one after the other.
        worker.failed_lists += 1
    commands: list[Command] = []
    worker.refused_connections = (
        worker.refused_connections + 1 if message.refused else 0
    )
    if not message.refused and worker.failed_lists < UNREACHABLE_AFTER_FAILURES:
        return advance(worker, state, now)
    worker.list_failed_at = now
    if worker.reachable and (
        worker.failed_lists >= UNREACHABLE_AFTER_FAILURES or is_dead(worker)
    ):
        worker.reachable = False
        state.reports[message.worker_id].changed = True
        fields = {"worker": message.worker_id, "reason": message.reason}
        commands.append(WriteLog(number=WORKER_UNREACHABLE.number, fields=fields))
    if is_dead(worker):
        mark_process_gone(worker)
        crashed = worker.info.state is WorkerState.READY and not worker.departed
        commands += abandon_runs(worker, WORKER_DEAD, state, now, crashed)
    due = ListRetryDue(worker_id=message.worker_id)
    timer_id = f"list:{message.worker_id}"
    timer = SetTimer(timer_id=timer_id, delay=LIST_RETRY_DELAY, message=due)
    return [*commands, timer, *write_report(worker, state, now)]


@decide.register
def _(message: ListRetryDue, state: RunnerState, now: float) -> list[Command]:
    worker = state.workers.get(message.worker_id)
    return advance(worker, state, now) if worker else []


@decide.register(RunAnswer)
def _(message: RunAnswer, state: RunnerState, now: float) -> list[Command]:
    worker = state.workers.get(message.worker_id)
    if worker is None:
        return []
    if worker.info.incarnation != message.incarnation:
        learn_former_start(worker, message, now)
        return []
    return handle_run_event(worker, (message.task, message.run), message, state, now)


@decide.register
def _(message: RunRetryDue, state: RunnerState, now: float) -> list[Command]:
    worker = state.workers.get(message.worker_id)
    if worker is None:
        return []
    return handle_run_event(worker, (message.task, message.run), message, state, now)


@decide.register
def _(message: HealthCheckDue, state: RunnerState, now: float) -> list[Command]:
    return [*handle_check_due(message, state, now), *_advance_all(state, now)]


@decide.register
def _(message: HealthAnswered, state: RunnerState, now: float) -> list[Command]:
    return [*handle_health_answer(message, state, now), *_advance_all(state, now)]


@decide.register
def _(message: RunnerTick, state: RunnerState, now: float) -> list[Command]:
    timer = SetTimer(timer_id=TICK_TIMER, delay=TICK_INTERVAL, message=message)
    commands: list[Command] = [timer, *log_unread_cordons(state, now)]
    for worker in list(state.workers.values()):
        if is_lease_over(worker, now):
            commands += abandon_runs(worker, LEASE_EXPIRED, state, now)
        if is_expired(worker, now):
            commands += remove_worker(worker, state, now)
    for worker_id in list(state.reports):
        if worker_id not in state.workers:
            commands += delete_report(worker_id, state, now)
    return [*commands, *_advance_all(state, now)]


@decide.register
def _(message: Committed, state: RunnerState, now: float) -> list[Command]:
    found = find_report_write(message.operation_id, state)
    if found is None:
        return []
    worker_id, report = found
    report.in_flight = ""
    report.version = message.versions[report_key(worker_id)]
    worker = state.workers.get(worker_id)
    if worker is None:
        del state.reports[worker_id]
        return []
    if report.deleting:
        # The worker came back while its row was being deleted.
        return advance(worker, state, now)
    silence = report.sent_at - report.confirmed_at
    if silence > state.times.horizon and report.confirmed_at > -inf:
        # The owner may have taken the runs for lost.
        report.session = state.new_operation_id()
        report.changed = True
    report.confirmed_at = report.sent_at
    commands = advance(worker, state, now)
    if worker.runs and silence > LEASE_RENEWAL_SILENCE:
        # The poll in progress may last until the lease is over.
        context = run_context(worker, state)
        commands.append(list_runs_command(context, 0.0, now))
    return commands


@decide.register
def _(message: StoreResult, state: RunnerState, now: float) -> list[Command]:
    found = find_report_write(message.operation_id, state)
    if found is None:
        return []
    worker_id, report = found
    report.in_flight = ""
    report.version = None
    report.changed = True
    reason = "the row was replaced"
    if isinstance(message, StoreUnavailable):
        reason = message.reason
        report.retry_at = now + REPORT_RETRY_DELAY
    fields = {"worker": worker_id, "reason": reason, "number": report.number}
    return [WriteLog(number=REPORT_FAILED.number, fields=fields)]


@decide.register
def _(message: RowsRead, state: RunnerState, now: float) -> list[Command]:
    report = state.reports.get(message.read_id)
    if report is None:
        return []
    report.reading = False
    key = report_key(message.read_id)
    row = next((row for row in message.rows if row.key == key), None)
    report.version = row.version if row else ABSENT
    if row is not None:
        number = row.value.get("number", 0)
        report.number = max(report.number, number if isinstance(number, int) else 0)
    worker = state.workers.get(message.read_id)
    if worker is None:
        if row is not None and row.value.get("agent_id") == state.agent_id:
            return delete_report(message.read_id, state, now)
        # The row has been deleted, or the worker has moved to another agent.
        del state.reports[message.read_id]
        return []
    # The row may come from another writer; what can't be read is no evidence.
    former = unpack(WorkerReport, row.value).value_or(None) if row else None
    if former is not None:
        apply_former_report(worker, former, is_gone(worker, now))
    return advance(worker, state, now)


@decide.register
def _(message: RowsUnavailable, state: RunnerState, now: float) -> list[Command]:
    report = state.reports.get(message.read_id)
    if report is None:
        return []
    report.reading = False
    report.retry_at = now + REPORT_RETRY_DELAY
    fields = {"worker": message.read_id, "reason": message.reason, "number": 0}
    return [WriteLog(number=REPORT_FAILED.number, fields=fields)]


def _advance_all(state: RunnerState, now: float) -> list[Command]:
    commands: list[Command] = []
    for worker in list(state.workers.values()):
        commands += advance(worker, state, now)
    return commands
