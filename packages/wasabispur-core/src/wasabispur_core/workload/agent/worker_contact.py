"""Keep in contact with a worker beside the agent, and remove one that is gone.

The agent's runner requests the lists of each worker all the time, and reports on it.
"""

from __future__ import annotations

from math import inf

from ...command import Command, SetTimer, WriteLog
from ...log_event import WORKER_REACHABLE
from .former_run import bar_late_starts
from .lease_clock import CONTACT_LIMIT, is_lease_over
from .report_writer import delete_report, write_report
from .run_action import list_runs_command
from .run_dispatch import run_context
from .runner_message import ListRetryDue
from .runner_state import LocalWorker, RunnerState

LIST_POLL_WAIT = 1.0
"""Seconds by which the worker delays the answer to a long poll if no run ends."""

LIST_RETRY_DELAY = 0.25
"""Seconds before the lists are requested again after a failure."""

DEAD_AFTER_REFUSALS = 2
"""Consecutive refused connections that show that the worker's process has ended."""


def advance(worker: LocalWorker, state: RunnerState, now: float) -> list[Command]:
    """Write the report and request the worker's lists, if they are due."""
    commands = write_report(worker, state, now)
    if worker.list_in_flight or not state.orders_read:
        return commands
    if worker.departed and is_dead(worker):
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
        *bar_late_starts(worker, now),
    ]


def mark_reachable(worker: LocalWorker, state: RunnerState) -> list[Command]:
    """Record that the worker answered, and log it if it was unreachable."""
    worker.refused_connections = worker.failed_lists = 0
    worker.process_gone = False
    if worker.reachable:
        return []
    worker.reachable = True
    state.reports[worker.info.worker_id].changed = True
    fields = {"worker": worker.info.worker_id}
    return [WriteLog(number=WORKER_REACHABLE.number, fields=fields)]


def is_dead(worker: LocalWorker) -> bool:
    """Return whether refused connections show that the worker's process has ended."""
    return worker.refused_connections >= DEAD_AFTER_REFUSALS


def mark_process_gone(worker: LocalWorker) -> None:
    """Record that the worker's process has ended.

    A later lifetime may answer under the same id. It is granted no lease, and no end of
    it is acknowledged, before its clock is known.
    """
    worker.process_gone = True
    worker.clock = None


def is_gone(worker: LocalWorker, now: float) -> bool:
    """Return whether nothing that was ordered before can run on the worker now."""
    return is_dead(worker) or is_lease_over(worker, now)


def is_expired(worker: LocalWorker, now: float) -> bool:
    """Return whether a worker that is gone is removed.

    A worker that may come back is removed only after the owner has taken its runs out
    of the orders, as they are reported as not there any more. The owner leaves the
    orders of a worker without a report as they are, so that the worker would be told to
    start these runs. A worker that has deregistered does not come back.
    """
    if worker.silence(now) <= CONTACT_LIMIT or not is_gone(worker, now):
        return False
    return worker.departed or not worker.ordered


def remove_worker(worker: LocalWorker, state: RunnerState, now: float) -> list[Command]:
    """Remove a worker that is gone, and delete the row with the report on it."""
    worker_id = worker.info.worker_id
    report = state.reports[worker_id]
    if report.in_flight or report.version is None:
        return []
    del state.workers[worker_id]
    # If the worker comes back, no run starts until the owner has a new report.
    report.confirmed_at = -inf
    report.session = state.new_operation_id()
    return delete_report(worker_id, state, now)
