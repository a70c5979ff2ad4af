"""Decide, at the agent, how orders become runs and what is reported."""

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
from .rows import order_table, report_key
from .run_action import ask_lists
from .runner_message import (
    ListDue,
    ListFailed,
    RunAnswer,
    RunDue,
    RunnerTick,
    RunsListed,
    WorkerAnnounced,
    WorkerLeft,
)
from .seat_flow import (
    adopt_orders,
    give_up_runs,
    run_scope,
    tell_run,
    tell_runs,
)
from .seat_report import (
    listed_content,
    report_awaiting,
    REPORT_RETRY,
    write_report,
    write_row,
)
from .seat_state import (
    ReportState,
    RunnerState,
    Seat,
)
from .worker import (
    incarnation_sort_key,
    OrdersArrived,
)

TICK_INTERVAL = 0.25
"""Seconds between two looks at what is due."""

LIST_WAIT = 1.0
"""Seconds for which the worker holds an answer back if no run ends."""

LIST_RETRY = 0.25
"""Seconds before the lists are asked for again after a failure."""

REFUSALS_FOR_DEATH = 2
"""Refused connections in a row that prove that no worker process is there."""

FORGET_AFTER = 20.0
"""Seconds without a heartbeat after which an unreachable worker is forgotten."""

TICK_TIMER = "runner-tick"
WORKER_DEAD = "the worker's process is gone"
LEASE_OVER = "the worker's lease is over"


@singledispatch
def decide(message: Message, state: RunnerState, now: float) -> list[Command]:
    """Return the commands that a message to the runner causes."""
    raise UnhandledMessageError(
        f"the runner does not take {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide.register
def _(message: WorkerAnnounced, state: RunnerState, now: float) -> list[Command]:
    info = message.info
    seat = state.seats.get(info.worker_id)
    if seat is not None and not _newer(message, seat):
        return []
    report = state.reports.setdefault(info.worker_id, ReportState())
    commands: list[Command] = []
    if seat is None or seat.info.incarnation != info.incarnation:
        seat = state.seats[info.worker_id] = Seat(info=info)
        report.changed = True
        commands.append(_announced(info.worker_id, state))
    elif seat.info.state != info.state or seat.info.capacity != info.capacity:
        report.changed = True
        seat.info = info
        commands.append(_announced(info.worker_id, state))
    seat.info = info
    seat.announced_at = now
    return [*commands, *adopt_orders(seat, state, now), *_advance(seat, state, now)]


@decide.register
def _(message: WorkerLeft, state: RunnerState, now: float) -> list[Command]:
    seat = state.seats.get(message.worker_id)
    if seat is None:
        return []
    seat.left = True
    seat.runs = ()
    give_up_runs(seat, WORKER_DEAD, state)
    state.reports[message.worker_id].changed = True
    return _advance(seat, state, now)


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
    seat = state.seats.get(orders.worker_id)
    if seat is None:
        return []
    return [*adopt_orders(seat, state, now), *_advance(seat, state, now)]


@decide.register
def _(message: RunsListed, state: RunnerState, now: float) -> list[Command]:
    seat = state.seats.get(message.worker_id)
    if seat is None or seat.info.incarnation != message.incarnation:
        return []
    if message.recurring:
        seat.listing = False
    if message.sent_at < seat.listed_at:
        return _advance(seat, state, now)
    commands = _note_reached(seat, state)
    before = listed_content(seat)
    seat.listed_at = message.sent_at
    seat.listings += 1
    seat.clock_offset = message.clock - now
    seat.runs = message.runs
    seat.ended = message.ended
    commands += tell_runs(seat, message.sent_at, state, now)
    state.reports[message.worker_id].changed |= before != listed_content(seat)
    return [*commands, *_advance(seat, state, now)]


@decide.register
def _(message: ListFailed, state: RunnerState, now: float) -> list[Command]:
    seat = state.seats.get(message.worker_id)
    if seat is None or seat.info.incarnation != message.incarnation:
        return []
    if message.recurring:
        seat.listing = False
    commands: list[Command] = []
    seat.failed_at = now
    seat.refusals = seat.refusals + 1 if message.refused else 0
    if seat.reachable and (seat.refusals >= REFUSALS_FOR_DEATH or not message.refused):
        seat.reachable = False
        state.reports[message.worker_id].changed = True
        fields = {"worker": message.worker_id, "reason": message.reason}
        commands.append(WriteLog(number=WORKER_UNREACHABLE.number, fields=fields))
    if seat.refusals >= REFUSALS_FOR_DEATH:
        give_up_runs(seat, WORKER_DEAD, state)
    due = ListDue(worker_id=message.worker_id)
    timer_id = f"list:{message.worker_id}"
    timer = SetTimer(timer_id=timer_id, delay=LIST_RETRY, message=due)
    return [*commands, timer, *write_report(seat, state, now)]


@decide.register
def _(message: ListDue, state: RunnerState, now: float) -> list[Command]:
    seat = state.seats.get(message.worker_id)
    return _advance(seat, state, now) if seat else []


@decide.register(RunAnswer)
def _(message: RunAnswer, state: RunnerState, now: float) -> list[Command]:
    seat = state.seats.get(message.worker_id)
    if seat is None or seat.info.incarnation != message.incarnation:
        return []
    return tell_run(seat, (message.task, message.run), message, state, now)


@decide.register
def _(message: RunDue, state: RunnerState, now: float) -> list[Command]:
    seat = state.seats.get(message.worker_id)
    if seat is None:
        return []
    return tell_run(seat, (message.task, message.run), message, state, now)


@decide.register
def _(message: RunnerTick, state: RunnerState, now: float) -> list[Command]:
    timer = SetTimer(timer_id=TICK_TIMER, delay=TICK_INTERVAL, message=message)
    commands: list[Command] = [timer]
    for seat in list(state.seats.values()):
        if not seat.reachable and now > seat.lease_until:
            give_up_runs(seat, LEASE_OVER, state)
        if _forgotten(seat, now):
            commands += _forget(seat, state, now)
    return [*commands, *_advance_all(state, now)]


@decide.register
def _(message: Committed, state: RunnerState, now: float) -> list[Command]:
    found = report_awaiting(message.operation_id, state)
    if found is None:
        return []
    worker_id, report = found
    report.in_flight = ""
    report.version = message.versions[report_key(worker_id)]
    report.confirmed_at = report.sent_at
    if report.removed:
        del state.reports[worker_id]
        return []
    seat = state.seats.get(worker_id)
    return _advance(seat, state, now) if seat else []


@decide.register
def _(message: StoreResult, state: RunnerState, now: float) -> list[Command]:
    found = report_awaiting(message.operation_id, state)
    if found is None:
        return []
    worker_id, report = found
    report.in_flight = ""
    report.version = None
    report.changed = True
    reason = "the row was replaced"
    if isinstance(message, StoreUnavailable):
        reason = message.reason
        report.retry_at = now + REPORT_RETRY
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
    seat = state.seats.get(message.read_id)
    return _advance(seat, state, now) if seat else []


@decide.register
def _(message: RowsUnavailable, state: RunnerState, now: float) -> list[Command]:
    report = state.reports.get(message.read_id)
    if report is None:
        return []
    report.reading = False
    report.retry_at = now + REPORT_RETRY
    fields = {"worker": message.read_id, "reason": message.reason, "number": 0}
    return [WriteLog(number=REPORT_FAILED.number, fields=fields)]


def _newer(message: WorkerAnnounced, seat: Seat) -> bool:
    """Return whether a heartbeat tells more than the last one of its worker."""
    info, known = message.info, seat.info
    if info.incarnation != known.incarnation:
        return incarnation_sort_key(info.incarnation) > incarnation_sort_key(
            known.incarnation
        )
    return info.sequence > known.sequence and not seat.left


def _announced(worker_id: str, state: RunnerState) -> Command:
    info = state.seats[worker_id].info
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
    for seat in list(state.seats.values()):
        commands += _advance(seat, state, now)
    return commands


def _advance(seat: Seat, state: RunnerState, now: float) -> list[Command]:
    """Ask for the lists and write the report if they are due."""
    commands = write_report(seat, state, now)
    if seat.listing or not state.orders_read or seat.left:
        return commands
    if now - seat.failed_at < LIST_RETRY:
        return commands
    if seat.ended and now - seat.listed_at < LIST_RETRY:
        # With an end in its lists the worker answers at once; the acknowledgement
        # is sent as soon as the owner gives it.
        due = ListDue(worker_id=seat.info.worker_id)
        timer_id = f"list:{seat.info.worker_id}"
        return [*commands, SetTimer(timer_id=timer_id, delay=LIST_RETRY, message=due)]
    seat.listing = True
    # The first answer gives the worker's clock, without which nothing starts.
    wait = LIST_WAIT if seat.clock_offset is not None else 0.0
    return [*commands, ask_lists(run_scope(seat, state), wait, now, recurring=True)]


def _note_reached(seat: Seat, state: RunnerState) -> list[Command]:
    seat.refusals = 0
    if seat.reachable:
        return []
    seat.reachable = True
    state.reports[seat.info.worker_id].changed = True
    fields = {"worker": seat.info.worker_id}
    return [WriteLog(number=WORKER_REACHABLE.number, fields=fields)]


def _forgotten(seat: Seat, now: float) -> bool:
    silent = now - max(seat.announced_at, seat.listed_at)
    return (seat.left or not seat.reachable) and silent > FORGET_AFTER


def _forget(seat: Seat, state: RunnerState, now: float) -> list[Command]:
    """Remove the report on a worker that is gone."""
    worker_id = seat.info.worker_id
    report = state.reports[worker_id]
    if report.in_flight or report.version is None:
        return []
    del state.seats[worker_id]
    report.removed = True
    return [write_row(worker_id, report, None, state, now)]
