"""Write an agent's reports on the workers that it manages to the table service.

The entry instance (a front-end process) that owns the shard reads the reports. Each
worker has one row. The agent replaces the row under the condition that its version is
the last one known, so that a late write can't replace a newer report.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TypeVar

from ...command import Command, ReadRows, Transact
from ...storage.store import ABSENT, Condition, row_size, Transaction, Write
from ..rows import pack, report_key
from ..workers.worker import listed_keys, RefusedRun, WorkerInfo, WorkerReport
from .health_check import reported_health
from .lease_clock import CONTACT_LIMIT
from .runner_cordon import is_cordoned
from .runner_state import LocalWorker, ReportState, RunnerState

T = TypeVar("T")

FORMER_CRASH = "a former incarnation had begun it"

REPORT_RETRY_DELAY = 0.5
"""Seconds before a report is retried after a failed read or write of its row."""

REPORT_INTERVAL = 1.0
"""Seconds after which a report is written even if the worker's state is unchanged."""

REFUSALS_LIMIT_BYTES = 14_000
ENDS_LIMIT_BYTES = 22_000
RUNS_LIMIT_BYTES = 18_000
"""Sizes of the lists in a report, since the table service limits a row to 64 KiB.

What is left out follows in a later report, once the owner has seen what comes first.
"""


def write_report(worker: LocalWorker, state: RunnerState, now: float) -> list[Command]:
    """Write a worker's report if it is due and its row is neither read nor written."""
    worker_id = worker.info.worker_id
    report = state.reports[worker_id]
    due = report.changed or now - report.sent_at >= REPORT_INTERVAL
    if report.in_flight or report.reading or not due or now < report.retry_at:
        return []
    # Until the worker's clock is known, the agent can't grant a lease and so can't
    # start a run. An unreachable or departed worker is reported nevertheless, since its
    # clock may never become known.
    if worker.clock is None and worker.reachable and not worker.departed:
        return []
    # The owner ends the runs of former incarnations when a later one is reported.
    given_up = worker.departed or worker.silence(now) > CONTACT_LIMIT
    if not worker.settled and not given_up:
        return []
    if report.version is None:
        report.reading = True
        return [ReadRows(read_id=worker_id, prefix=report_key(worker_id))]
    report.number += 1
    report.changed = False
    content = pack(_report(worker, report, state, now))
    return [replace_report_row(worker_id, report, content, state, now)]


def delete_report(worker_id: str, state: RunnerState, now: float) -> list[Command]:
    """Delete the row of a removed worker, after reading it if its version is unknown.

    The version is unknown after a failed deletion, which may have taken effect.
    """
    report = state.reports[worker_id]
    if report.in_flight or report.reading or now < report.retry_at:
        return []
    if report.version is None:
        report.reading = True
        return [ReadRows(read_id=worker_id, prefix=report_key(worker_id))]
    return [replace_report_row(worker_id, report, None, state, now)]


def replace_report_row(
    worker_id: str,
    report: ReportState,
    content: dict[str, object] | None,
    state: RunnerState,
    now: float,
) -> Command:
    """Replace the report's row, or delete the row if the content is None."""
    key = report_key(worker_id)
    report.in_flight = state.new_operation_id()
    report.deleting = content is None
    report.sent_at = now
    return Transact(
        transaction=Transaction(
            operation_id=report.in_flight,
            conditions=(Condition(key=key, version=report.version or ABSENT),),
            writes=(Write(key=key, value=content),),
        )
    )


def _report(
    worker: LocalWorker, report: ReportState, state: RunnerState, now: float
) -> WorkerReport:
    # A barred run can't start any more, because the worker accepted its stop and does
    # not list it. An abandoned run can't be at the worker any more, because the worker
    # is gone or its lease has expired. A key is a task and the number of its run.
    refused = tuple(
        RefusedRun(
            task=key[0],
            run=key[1],
            reason=run.refusal_reason or "stopped",
            crashed=run.crashed,
            uncertain=run.crashed and not run.begun,
        )
        for key, run in sorted(worker.ordered.items())
        if run.lifecycle.state == "barred" or run.abandoned
    )
    # The owner takes the runs of a former incarnation for crashed or left by itself,
    # but can't see which of them had begun.
    refused += tuple(
        RefusedRun(task=key[0], run=key[1], reason=FORMER_CRASH, crashed=True)
        for key in sorted(worker.former_crashes)
    )
    # listing lets the owner see whether runs is newer than in the last report.
    health, health_age, health_changes = reported_health(
        worker.info.worker_id, state, now
    )
    return WorkerReport(
        agent_id=state.agent_id,
        number=report.number,
        info=_reported_info(worker, state),
        session=report.session,
        cordoned=is_cordoned(worker, state),
        listing=worker.former_listing + worker.list_count,
        runs=_first_of(worker.runs, RUNS_LIMIT_BYTES),
        ended=_first_of(worker.ended, ENDS_LIMIT_BYTES),
        refused=_first_of(refused, REFUSALS_LIMIT_BYTES),
        health=health,
        health_age=health_age,
        health_changes=health_changes,
    )


def _reported_info(worker: LocalWorker, state: RunnerState) -> WorkerInfo:
    """Return how a worker is announced; cold starts count where there are cordons."""
    info = replace(worker.info, state=worker.state)
    return info if state.cordons else replace(info, cold_left=0.0)


def _first_of(items: tuple[T, ...], limit: int) -> tuple[T, ...]:
    """Return the first items, as far as they fit into a number of bytes."""
    size = 0
    for count, item in enumerate(items):
        size += row_size(pack(item)) + 1
        if size > limit:
            return items[:count]
    return items


def run_snapshot(worker: LocalWorker) -> tuple[object, ...]:
    """Return the part of a worker's state whose change triggers a report at once."""
    return listed_keys(worker.runs), worker.ended


def find_report_write(
    operation_id: str, state: RunnerState
) -> tuple[str, ReportState] | None:
    """Return the worker id and report that an operation writes, or None."""
    for worker_id, report in state.reports.items():
        if report.in_flight == operation_id:
            return worker_id, report
    return None
