"""Apply the owner's orders to a worker and reconcile them with the worker's lists.

This part of the agent's runner starts a state chart for each run that the entry
instance that owns the shard orders. The worker's lists of active and ended runs, and
the results of calls, are the events of the chart.
"""

from __future__ import annotations

from math import inf

from ...command import Command, WriteLog
from ...log_event import RUN_CONCLUDED, RUNS_ABANDONED
from ...message import Message
from ..workers.worker import listed_keys, RunOrder, WorkerOrders, WorkerReport
from .report_writer import write_report
from .run_action import list_runs_command, RunContext
from .runner_cordon import is_cordoned, may_start_orders
from .runner_state import (
    LocalWorker,
    OrderedRun,
    RunEndSeen,
    RunMissing,
    RunnerState,
    RunOrdered,
    RunSeen,
    StopOrdered,
)


def apply_orders(worker: LocalWorker, state: RunnerState, now: float) -> list[Command]:
    """Apply the latest orders of the shard's owner to the worker."""
    orders = state.orders.get(worker.info.worker_id)
    if orders is None or orders is worker.orders:
        return []
    if orders.epoch < worker.epoch:
        return []
    if orders.incarnation != worker.info.incarnation:
        # Orders for another incarnation order no runs here, but their epoch is valid.
        orders = WorkerOrders(
            worker_id=orders.worker_id,
            incarnation=worker.info.incarnation,
            epoch=orders.epoch,
        )
        if orders == worker.orders:
            return []
    elif worker.settled:
        # The owner has applied a report on this incarnation.
        worker.former_crashes.clear()
    acknowledged = worker.orders.acknowledged if worker.orders else 0
    worker.orders = orders
    wanted = {(order.task, order.run): order for order in orders.runs}
    for key in list(worker.ordered):
        if key not in wanted:
            del worker.ordered[key]
    listed = listed_keys(worker.runs)
    commands: list[Command] = []
    for key, order in wanted.items():
        if key not in worker.ordered:
            payload = orders.payloads.get(order.job_id, "")
            run = _new_run(order, payload, state)
            run.begun = key in listed
            worker.ordered[key] = run
        commands += _apply_order(worker, key, order, state, now)
    if orders.acknowledged > acknowledged:
        context = run_context(worker, state)
        commands.append(list_runs_command(context, 0.0, now))
    return commands


def _new_run(order: RunOrder, payload: str, state: RunnerState) -> OrderedRun:
    """Return a run that was not ordered before, as far as this process knows.

    After a restart of the agent, the worker may have the run already.
    """
    return OrderedRun(
        order=order,
        payload=payload,
        lifecycle=state.run_chart.start(),
        unconfirmed=True,
    )


def _apply_order(
    worker: LocalWorker,
    key: tuple[str, int],
    order: RunOrder,
    state: RunnerState,
    now: float,
) -> list[Command]:
    run = worker.ordered[key]
    if order.stop:
        return handle_run_event(worker, key, StopOrdered(), state, now)
    if run.unconfirmed and not _can_start(worker, state, now):
        return []
    listed = run.unconfirmed and key in listed_keys(worker.runs)
    run.unconfirmed = False
    event = RunSeen() if listed else RunOrdered()
    return handle_run_event(worker, key, event, state, now)


def start_pending_runs(
    worker: LocalWorker, state: RunnerState, now: float
) -> list[Command]:
    """Start the ordered runs that were kept until more was known."""
    commands: list[Command] = []
    for key, run in worker.ordered.items():
        if run.unconfirmed:
            commands += _apply_order(worker, key, run.order, state, now)
    return commands


def _can_start(worker: LocalWorker, state: RunnerState, now: float) -> bool:
    """Return whether a lease can be granted, and the orders and cordons are current."""
    context = run_context(worker, state)
    confirmed = context.report.confirmed_at > -inf
    current = context.orders_current and may_start_orders(context.report, state, now)
    return worker.clock is not None and confirmed and current


def reconcile_runs(
    worker: LocalWorker, requested_at: float, state: RunnerState, now: float
) -> list[Command]:
    """Handle, for each ordered run, its presence or absence in the worker's lists.

    requested_at is the time of the request for the lists in monotonic seconds.
    """
    running = listed_keys(worker.runs)
    ended = {(run.task, run.run): run for run in worker.ended}
    commands: list[Command] = []
    for key, run in [*worker.ordered.items(), *worker.former_runs.items()]:
        event: Message = RunMissing(requested_at=requested_at)
        if key in running:
            event = RunSeen()
            run.begun = True
        elif key in ended:
            event = RunEndSeen()
            if not run.lifecycle.final:
                fields = {
                    "task": key[0],
                    "run": key[1],
                    "worker": worker.info.worker_id,
                    "how": ended[key].kind.value,
                }
                log = WriteLog(number=RUN_CONCLUDED.number, fields=fields)
                commands.append(log)
        if run.unconfirmed and not run.order.stop and isinstance(event, RunMissing):
            if not _can_start(worker, state, now):
                continue
            event = RunOrdered()
        run.unconfirmed = False
        commands += handle_run_event(worker, key, event, state, now)
    return commands


def handle_run_event(
    worker: LocalWorker,
    key: tuple[str, int],
    message: Message,
    state: RunnerState,
    now: float,
) -> list[Command]:
    """Handle a message as an event of one ordered run's chart."""
    run = worker.ordered.get(key) or worker.former_runs.get(key)
    if run is None or run.lifecycle.final or run.abandoned:
        return []
    commands = run.lifecycle.handle(message, run_context(worker, state), run, now)
    if run.lifecycle.final:
        state.reports[worker.info.worker_id].changed = True
        commands = [*commands, *write_report(worker, state, now)]
    return commands


def apply_former_report(worker: LocalWorker, former: WorkerReport, gone: bool) -> None:
    """Take over what a former lifetime of the agent reported on the worker.

    Runs that the same incarnation listed then have been started, also if this process
    gets no list any more. gone is set if nothing can run on the worker now.
    """
    if former.info.incarnation != worker.info.incarnation or worker.list_count:
        return
    listed = listed_keys(former.runs)
    for key, run in worker.ordered.items():
        run.begun |= key in listed
    worker.ended = former.ended
    # The owner must not take the former lists for newer ones.
    worker.former_listing = former.listing
    if not gone:
        worker.runs = former.runs


def abandon_runs(
    worker: LocalWorker,
    reason: str,
    state: RunnerState,
    now: float,
    crashed: bool = False,
) -> list[Command]:
    """Report all ordered runs of a worker that is gone as refused, with the reason.

    crashed is set if the worker's process ended without having announced it.
    """
    worker.runs = ()
    abandoned = 0
    for run in worker.ordered.values():
        if not run.abandoned and not run.lifecycle.final:
            run.process_ended = crashed
            abandoned += 1
        run.refusal_reason = run.refusal_reason or reason
        run.abandoned = True
    if not abandoned:
        return []
    state.reports[worker.info.worker_id].changed = True
    fields = {
        "worker": worker.info.worker_id,
        "incarnation": worker.info.incarnation,
        "reason": reason,
        "runs": abandoned,
        "lists": worker.list_count,
        "lease_over": round(now - worker.lease_until, 3),
    }
    return [WriteLog(number=RUNS_ABANDONED.number, fields=fields)]


def run_context(worker: LocalWorker, state: RunnerState) -> RunContext:
    """Return the context of the actions of a worker's runs."""
    report = state.reports[worker.info.worker_id]
    return RunContext(worker, report, state.times, is_cordoned(worker, state))
