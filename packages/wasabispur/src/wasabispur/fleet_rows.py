"""Validate the workload plane's rows before an entry instance's scheduler uses them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from returns.result import Failure

from wasabispur_core.log_event import ROW_REFUSED
from wasabispur_core.message import Message
from wasabispur_core.storage.store import Row
from wasabispur_core.workload.jobs.progress import JobProgress, UnitPage
from wasabispur_core.workload.jobs.spec import JobSpec
from wasabispur_core.workload.owner.fleet_message import (
    CancelArrived,
    CancellationRemoved,
    JobArrived,
    ProgressArrived,
    ReportRemoved,
    UnitPageArrived,
)
from wasabispur_core.workload.rows import (
    CANCEL_SUFFIX,
    JOB_TABLE,
    parse_unit_page,
    PROGRESS_TABLE,
    REPORT_TABLE,
    UNIT_TABLE,
    unpack,
)
from wasabispur_core.workload.run_times.run_time_row import (
    ESTIMATE_TABLE,
    run_times_key,
    RunTimesArrived,
    StoredRunTimes,
)
from wasabispur_core.workload.run_times.worker_speed_row import (
    StoredSpeeds,
    worker_speeds_key,
    WorkerSpeedsArrived,
)
from wasabispur_core.workload.workers.worker import ReportArrived, WorkerReport
from wasabispur_runtime.log import log

T = TypeVar("T")


def decode_rows(rows: Iterable[Row]) -> list[Message]:
    """Return the scheduler's messages for rows; log and skip malformed rows."""
    decoded = (decode_row(row) for row in rows)
    return [message for message in decoded if message is not None]


def decode_row(row: Row) -> Message | None:
    """Return the scheduler's message for a row, or None if there is none."""
    table, _, rest = row.key.partition("/")
    name = rest.partition("/")[2]
    if table == JOB_TABLE and name.endswith(CANCEL_SUFFIX):
        job_id = name.removesuffix(CANCEL_SUFFIX)
        return CancelArrived(job_id=job_id, version=row.version)
    if table == JOB_TABLE:
        spec = decode_value(JobSpec, row)
        return JobArrived(spec=spec) if spec else None
    if table == PROGRESS_TABLE:
        return ProgressArrived(job_id=name, progress=decode_value(JobProgress, row))
    if table == UNIT_TABLE:
        return _decode_unit_page(name, row)
    if table == REPORT_TABLE:
        report = decode_value(WorkerReport, row)
        return ReportArrived(report=report, version=row.version) if report else None
    if table == ESTIMATE_TABLE and row.key == run_times_key():
        stored = decode_value(StoredRunTimes, row)
        return RunTimesArrived(stored=stored) if stored else None
    if table == ESTIMATE_TABLE and row.key == worker_speeds_key():
        speeds = decode_value(StoredSpeeds, row)
        return WorkerSpeedsArrived(stored=speeds) if speeds else None
    return None


def _decode_unit_page(name: str, row: Row) -> Message | None:
    try:
        job_id, page_id = parse_unit_page(name)
    except ValueError as error:
        log(ROW_REFUSED, key=row.key, error=str(error))
        return None
    page = decode_value(UnitPage, row)
    return UnitPageArrived(job_id=job_id, page_id=page_id, page=page)


def decode_removal(key: str) -> Message | None:
    """Return the scheduler's message for a removed row, or None if there is none."""
    table, _, rest = key.partition("/")
    name = rest.partition("/")[2]
    if table == REPORT_TABLE:
        return ReportRemoved(worker_id=name)
    if table == JOB_TABLE and name.endswith(CANCEL_SUFFIX):
        return CancellationRemoved(job_id=name.removesuffix(CANCEL_SUFFIX))
    return None


def decode_value(kind: type[T], row: Row) -> T | None:
    """Return the validated value of a row; log a malformed row and return None."""
    result = unpack(kind, row.value)
    if isinstance(result, Failure):
        log(ROW_REFUSED, key=row.key, error=str(result.failure()))
        return None
    return result.unwrap()
