"""Write what the agent knows of its workers."""

from __future__ import annotations

from dataclasses import replace

from ..command import Command, ReadRows, Transact
from ..store import ABSENT, Condition, Transaction, Write
from .rows import pack, report_key
from .seat_state import ReportState, RunnerState, Seat
from .worker import RefusedRun, WorkerReport

REPORT_RETRY = 0.5
"""Seconds before a report is tried again after the store did not take it."""

REPORT_INTERVAL = 1.0
"""Seconds after which a report is written even if nothing changed."""

ENDS_LIMIT = 300
"""Unacknowledged ends in one report, which the store bounds at 64 KiB."""


def write_report(seat: Seat, state: RunnerState, now: float) -> list[Command]:
    """Write a worker's report if it changed or is due, and none is under way."""
    worker_id = seat.info.worker_id
    report = state.reports[worker_id]
    due = report.changed or now - report.sent_at >= REPORT_INTERVAL
    if report.in_flight or report.reading or not due or now < report.retry_at:
        return []
    if seat.clock_offset is None and seat.reachable and not seat.left:
        return []
    if report.version is None:
        report.reading = True
        return [ReadRows(read_id=worker_id, prefix=report_key(worker_id))]
    report.number += 1
    report.changed = False
    content = pack(_report(seat, report, state))
    return [write_row(worker_id, report, content, state, now)]


def write_row(
    worker_id: str,
    report: ReportState,
    content: dict[str, object] | None,
    state: RunnerState,
    now: float,
) -> Command:
    """Replace the report\'s row, or remove it where the content is None."""
    key = report_key(worker_id)
    report.in_flight = state.new_operation_id()
    report.sent_at = now
    return Transact(
        transaction=Transaction(
            operation_id=report.in_flight,
            conditions=(Condition(key=key, version=report.version or ABSENT),),
            writes=(Write(key=key, value=content),),
        )
    )


def _report(seat: Seat, report: ReportState, state: RunnerState) -> WorkerReport:
    refused = tuple(
        RefusedRun(task=key[0], run=key[1], reason=run.refusal or "stopped")
        for key, run in sorted(seat.ordered.items())
        if run.lifecycle.state == "barred" or run.given_up
    )
    return WorkerReport(
        agent_id=state.agent_id,
        number=report.number,
        info=replace(seat.info, state=seat.state),
        listing=seat.listings,
        runs=seat.runs,
        ended=seat.ended[:ENDS_LIMIT],
        refused=refused,
    )


def listed_content(seat: Seat) -> tuple[object, ...]:
    """Return what a change of which is reported at once."""
    return {(run.task, run.run) for run in seat.runs}, seat.ended


def report_awaiting(
    operation_id: str, state: RunnerState
) -> tuple[str, ReportState] | None:
    """Return the worker whose report an operation writes, or None."""
    for worker_id, report in state.reports.items():
        if report.in_flight == operation_id:
            return worker_id, report
    return None
