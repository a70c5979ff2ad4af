"""Turn orders into runs at a worker, and follow them in its lists."""

from __future__ import annotations

from math import inf

from ..command import Command, WriteLog
from ..log_event import RUN_CONCLUDED
from ..message import Message
from .run_action import ask_lists, RunScope
from .seat_report import write_report
from .seat_state import (
    OrderedRun,
    RunEndSeen,
    RunMissing,
    RunnerState,
    RunOrdered,
    RunSeen,
    Seat,
    StopOrdered,
)
from .worker import RunOrder, WorkerOrders


def adopt_orders(seat: Seat, state: RunnerState, now: float) -> list[Command]:
    """Begin what the latest orders for this incarnation ask for."""
    orders = state.orders.get(seat.info.worker_id)
    if orders is None or orders is seat.orders:
        return []
    if orders.epoch < seat.epoch:
        return []
    if orders.incarnation != seat.info.incarnation:
        # Orders for another incarnation ask nothing of this one, but tell the epoch.
        orders = WorkerOrders(
            worker_id=orders.worker_id,
            incarnation=seat.info.incarnation,
            epoch=orders.epoch,
        )
        if orders == seat.orders:
            return []
    acknowledged = seat.orders.acknowledged if seat.orders else 0
    seat.orders = orders
    wanted = {(order.task, order.run): order for order in orders.runs}
    for key in list(seat.ordered):
        if key not in wanted:
            del seat.ordered[key]
    commands: list[Command] = []
    for key, order in wanted.items():
        commands += _apply_order(seat, key, order, orders, state, now)
    if orders.acknowledged > acknowledged:
        scope = run_scope(seat, state)
        commands.append(ask_lists(scope, 0.0, now))
    return commands


def _apply_order(
    seat: Seat,
    key: tuple[str, int],
    order: RunOrder,
    orders: WorkerOrders,
    state: RunnerState,
    now: float,
) -> list[Command]:
    run = seat.ordered.get(key)
    if run is None:
        payload = orders.payloads.get(order.job_id, "")
        run = OrderedRun(
            order=order, payload=payload, lifecycle=state.run_chart.start()
        )
        seat.ordered[key] = run
        # A restarted agent finds runs that are at work or have ended already.
        run.adopting = True
    if order.stop:
        return tell_run(seat, key, StopOrdered(), state, now)
    if run.adopting and not _may_start(seat, state):
        return []
    run.adopting = False
    return tell_run(seat, key, RunOrdered(), state, now)


def _may_start(seat: Seat, state: RunnerState) -> bool:
    """Return whether a lease can be given: the clock and a report are confirmed."""
    confirmed_at = state.reports[seat.info.worker_id].confirmed_at
    return seat.clock_offset is not None and confirmed_at > -inf


def tell_runs(
    seat: Seat, asked_at: float, state: RunnerState, now: float
) -> list[Command]:
    """Tell each ordered run what the worker's lists say of it."""
    running = {(run.task, run.run) for run in seat.runs}
    ended = {(run.task, run.run): run for run in seat.ended}
    commands: list[Command] = []
    for key, run in list(seat.ordered.items()):
        event: Message = RunMissing(asked_at=asked_at)
        if key in running:
            event = RunSeen()
        elif key in ended:
            event = RunEndSeen()
            if not run.lifecycle.final:
                fields = {
                    "task": key[0],
                    "run": key[1],
                    "worker": seat.info.worker_id,
                    "how": ended[key].kind.value,
                }
                log = WriteLog(number=RUN_CONCLUDED.number, fields=fields)
                commands.append(log)
        if run.adopting and not run.order.stop and isinstance(event, RunMissing):
            if not _may_start(seat, state):
                continue
            event = RunOrdered()
        run.adopting = False
        commands += tell_run(seat, key, event, state, now)
    return commands


def tell_run(
    seat: Seat, key: tuple[str, int], message: Message, state: RunnerState, now: float
) -> list[Command]:
    """Fire a message's event on one ordered run."""
    run = seat.ordered.get(key)
    if run is None or run.lifecycle.final or run.given_up:
        return []
    commands = run.lifecycle.handle(message, run_scope(seat, state), run, now)
    if run.lifecycle.final:
        state.reports[seat.info.worker_id].changed = True
        commands = [*commands, *write_report(seat, state, now)]
    return commands


def give_up_runs(seat: Seat, reason: str, state: RunnerState) -> None:
    """Take all ordered runs of a dead worker as ended."""
    seat.runs = ()
    changed = False
    for run in seat.ordered.values():
        changed |= not run.refusal and not run.lifecycle.final
        run.refusal = run.refusal or reason
        run.given_up = True
    state.reports[seat.info.worker_id].changed |= changed


def run_scope(seat: Seat, state: RunnerState) -> RunScope:
    """Return what the actions of a worker's runs may look at."""
    return RunScope(seat, state.reports[seat.info.worker_id], state.times)
