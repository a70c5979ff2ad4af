"""Decide at the agent which calls its worker gets and what is reported on it.

The runner of an agent reads the orders that the entry instance that owns the shard
writes for the worker, starts and stops runs at the worker accordingly, extends the
worker's lease, and writes the report on the worker that the owner reads. A restarted
worker is another incarnation, with a state of its own.
"""

from __future__ import annotations

from functools import singledispatch

from ..command import Command, SetTimer, WriteLog
from ..error import UnhandledMessageError
from ..log_event import (
    REPORT_FAILED,
    WORKER_ANNOUNCED,
    WORKER_REACHABLE,
    WORKER_UNREACHABLE,
)
from ..message import Message
from ..store import (
    ABSENT,
    Committed,
    RowsRead,
    RowsUnavailable,
    StoreResult,
    StoreUnavailable,
)
from .fleet_state import TableReady
from .lease_clock import former_lease_end
from .report_writer import (
    find_report_write,
    replace_report_row,
    REPORT_RETRY_DELAY,
    run_snapshot,
    write_report,
)
from .rows import order_table, report_key
from .run_action import list_runs_command
from .run_dispatch import (
    abandon_runs,
    apply_orders,
    handle_run_event,
    reconcile_runs,
    run_context,
)
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
from .runner_state import (
    ClockReading,
    LocalWorker,
    ReportState,
    RunnerState,
)
from .worker import (
    incarnation_sort_key,
    OrdersArrived,
    WorkerInfo,
    WorkerState,
)

TICK_INTERVAL = 0.25
"""Seconds between two checks for work that is due."""

LIST_POLL_WAIT = 1.0
"""Seconds by which the worker delays the answer to a long poll if no run ends."""

LIST_RETRY_DELAY = 0.25
"""Seconds before the lists are requested again after a failure."""

LEASE_RENEWAL_SILENCE = 2.0
"""Seconds without a confirmed report after which a lease is renewed at once."""

UNREACHABLE_AFTER_FAILURES = 2
"""Consecutive failed requests for the lists after which a worker is unreachable.

One lost answer says little: the next request goes out on another connection.
"""

DEAD_AFTER_REFUSALS = 2
"""Consecutive refused connections that show that the worker's process has ended."""

REMOVE_AFTER = 20.0
"""Seconds without contact after which an unreachable or departed worker is removed."""

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
    if worker is not None and not _is_newer(message, worker):
        return []
    report = state.reports.setdefault(info.worker_id, ReportState())
    commands: list[Command] = []
    if worker is None or worker.info.incarnation != info.incarnation:
        worker = state.workers[info.worker_id] = _new_worker(info, state, now)
        report.changed = True
        commands.append(_announcement_log(info.worker_id, state))
    elif worker.info.state != info.state or worker.info.capacity != info.capacity:
        report.changed = True
        worker.info = info
        commands.append(_announcement_log(info.worker_id, state))
    worker.info = info
    worker.announced_at = now
    return [*commands, *apply_orders(worker, state, now), *_advance(worker, state, now)]


@decide.register
def _(message: WorkerLeft, state: RunnerState, now: float) -> list[Command]:
    worker = state.workers.get(message.worker_id)
    if worker is None:
        return []
    worker.departed = True
    worker.runs = ()
    commands = abandon_runs(worker, WORKER_DEAD, state, now)
    state.reports[message.worker_id].changed = True
    return [*commands, *_advance(worker, state, now)]


@decide.register
def _(message: TableReady, state: RunnerState, now: float) -> list[Command]:
    if message.table != order_table(state.agent_id):
        return []
    state.orders_read = True
    return _advance_all(state, now)


@decide.register
def _(message: OrdersArrived, state: RunnerState, now: float) -> list[Command]:
    orders = message.orders
    state.orders[orders.worker_id] = orders
    worker = state.workers.get(orders.worker_id)
    if worker is None:
        return []
    return [*apply_orders(worker, state, now), *_advance(worker, state, now)]


@decide.register
def _(message: RunsListed, state: RunnerState, now: float) -> list[Command]:
    worker = state.workers.get(message.worker_id)
    if worker is None or worker.info.incarnation != message.incarnation:
        return []
    if message.recurring:
        worker.list_in_flight = False
    if message.sent_at < worker.list_requested_at:
        return _advance(worker, state, now)
    commands = _mark_reachable(worker, state)
    before = run_snapshot(worker)
    worker.list_requested_at = message.sent_at
    worker.list_count += 1
    worker.clock = ClockReading(time=message.clock, read_at=now)
    worker.runs = message.runs
    worker.ended = message.ended
    commands += reconcile_runs(worker, message.sent_at, state, now)
    state.reports[message.worker_id].changed |= before != run_snapshot(worker)
    return [*commands, *_advance(worker, state, now)]


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
        return _advance(worker, state, now)
    worker.list_failed_at = now
    if worker.reachable and (
        worker.refused_connections >= DEAD_AFTER_REFUSALS or not message.refused
    ):
        worker.reachable = False
        state.reports[message.worker_id].changed = True
        fields = {"worker": message.worker_id, "reason": message.reason}
        commands.append(WriteLog(number=WORKER_UNREACHABLE.number, fields=fields))
    if worker.refused_connections >= DEAD_AFTER_REFUSALS:
        crashed = worker.info.state is WorkerState.READY
        commands += abandon_runs(worker, WORKER_DEAD, state, now, crashed)
    due = ListRetryDue(worker_id=message.worker_id)
    timer_id = f"list:{message.worker_id}"
    timer = SetTimer(timer_id=timer_id, delay=LIST_RETRY_DELAY, message=due)
    return [*commands, timer, *write_report(worker, state, now)]


@decide.register
def _(message: ListRetryDue, state: RunnerState, now: float) -> list[Command]:
    worker = state.workers.get(message.worker_id)
    return _advance(worker, state, now) if worker else []


@decide.register(RunAnswer)
def _(message: RunAnswer, state: RunnerState, now: float) -> list[Command]:
    worker = state.workers.get(message.worker_id)
    if worker is None or worker.info.incarnation != message.incarnation:
        return []
    return handle_run_event(worker, (message.task, message.run), message, state, now)


@decide.register
def _(message: RunRetryDue, state: RunnerState, now: float) -> list[Command]:
    worker = state.workers.get(message.worker_id)
    if worker is None:
        return []
    return handle_run_event(worker, (message.task, message.run), message, state, now)


@decide.register
def _(message: RunnerTick, state: RunnerState, now: float) -> list[Command]:
    timer = SetTimer(timer_id=TICK_TIMER, delay=TICK_INTERVAL, message=message)
    commands: list[Command] = [timer]
    for worker in list(state.workers.values()):
        if not worker.reachable and now > worker.lease_until:
            commands += abandon_runs(worker, LEASE_EXPIRED, state, now)
        if _is_expired(worker, now):
            commands += _remove_worker(worker, state, now)
    return [*commands, *_advance_all(state, now)]


@decide.register
def _(message: Committed, state: RunnerState, now: float) -> list[Command]:
    found = find_report_write(message.operation_id, state)
    if found is None:
        return []
    worker_id, report = found
    report.in_flight = ""
    report.version = message.versions[report_key(worker_id)]
    silence = report.sent_at - report.confirmed_at
    report.confirmed_at = report.sent_at
    if report.removed:
        del state.reports[worker_id]
        return []
    worker = state.workers.get(worker_id)
    if worker is None:
        return []
    commands = _advance(worker, state, now)
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
    return _advance(worker, state, now) if worker else []


@decide.register
def _(message: RowsUnavailable, state: RunnerState, now: float) -> list[Command]:
    report = state.reports.get(message.read_id)
    if report is None:
        return []
    report.reading = False
    report.retry_at = now + REPORT_RETRY_DELAY
    fields = {"worker": message.read_id, "reason": message.reason, "number": 0}
    return [WriteLog(number=REPORT_FAILED.number, fields=fields)]


def _new_worker(info: WorkerInfo, state: RunnerState, now: float) -> LocalWorker:
    """Return the state of a worker of which this process knows nothing yet."""
    return LocalWorker(info=info, lease_until=former_lease_end(state.times, now))


def _is_newer(message: WorkerAnnounced, worker: LocalWorker) -> bool:
    """Return whether a heartbeat is newer than the last heartbeat of its worker."""
    info, known = message.info, worker.info
    if info.incarnation != known.incarnation:
        return incarnation_sort_key(info.incarnation) > incarnation_sort_key(
            known.incarnation
        )
    return info.sequence > known.sequence and not worker.departed


def _announcement_log(worker_id: str, state: RunnerState) -> Command:
    info = state.workers[worker_id].info
    fields = {
        "worker": worker_id,
        "incarnation": info.incarnation,
        "state": info.state.value,
        "service": info.service,
        "sequence": info.sequence,
    }
    return WriteLog(number=WORKER_ANNOUNCED.number, fields=fields)


def _advance_all(state: RunnerState, now: float) -> list[Command]:
    commands: list[Command] = []
    for worker in list(state.workers.values()):
        commands += _advance(worker, state, now)
    return commands


def _advance(worker: LocalWorker, state: RunnerState, now: float) -> list[Command]:
    """Write the report and request the worker's lists, if they are due."""
    commands = write_report(worker, state, now)
    if worker.list_in_flight or not state.orders_read or worker.departed:
        return commands
    if now - worker.list_failed_at < LIST_RETRY_DELAY:
        return commands
    if worker.ended and now - worker.list_requested_at < LIST_RETRY_DELAY:
        # A worker whose lists contain an ended run answers at once, so polling without
        # a delay would spin. The runner sends the acknowledgement as soon as the
        # owner's orders contain it.
        due = ListRetryDue(worker_id=worker.info.worker_id)
        timer_id = f"list:{worker.info.worker_id}"
        return [
            *commands,
            SetTimer(timer_id=timer_id, delay=LIST_RETRY_DELAY, message=due),
        ]
    worker.list_in_flight = True
    # The first answer is needed at once: it contains the worker's clock, without which
    # no lease can be granted and no run started. After a failure, an immediate answer
    # shows that the worker is reachable.
    at_once = worker.clock is None or worker.failed_lists > 0
    wait = 0.0 if at_once else LIST_POLL_WAIT
    return [
        *commands,
        list_runs_command(run_context(worker, state), wait, now, recurring=True),
    ]


def _mark_reachable(worker: LocalWorker, state: RunnerState) -> list[Command]:
    worker.refused_connections = worker.failed_lists = 0
    if worker.reachable:
        return []
    worker.reachable = True
    state.reports[worker.info.worker_id].changed = True
    fields = {"worker": worker.info.worker_id}
    return [WriteLog(number=WORKER_REACHABLE.number, fields=fields)]


def _is_expired(worker: LocalWorker, now: float) -> bool:
    silent = now - max(worker.announced_at, worker.list_requested_at)
    return (worker.departed or not worker.reachable) and silent > REMOVE_AFTER


def _remove_worker(
    worker: LocalWorker, state: RunnerState, now: float
) -> list[Command]:
    """Remove a worker that is gone, and delete the row with the report on it."""
    worker_id = worker.info.worker_id
    report = state.reports[worker_id]
    if report.in_flight or report.version is None:
        return []
    del state.workers[worker_id]
    report.removed = True
    return [replace_report_row(worker_id, report, None, state, now)]
