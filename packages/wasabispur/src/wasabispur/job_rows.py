"""Validate the rows of jobs that an entry instance reads from the table service."""

from __future__ import annotations

from collections.abc import Iterable

from pydantic import TypeAdapter, ValidationError

from wasabispur_core.jobs.job_call import GuaranteeStatus
from wasabispur_core.jobs.job_queue import JobsRead
from wasabispur_core.jobs.job_record import job_prefix, JOB_SCHEMA, JobRecord
from wasabispur_core.log_event import JOB_ROW_MALFORMED
from wasabispur_core.storage.store import Row, RowsRead
from wasabispur_runtime.log import log

RECORD = TypeAdapter(JobRecord)
GUARANTEES = TypeAdapter(tuple[GuaranteeStatus, ...])

CANCEL_SUFFIX = "/cancel"


def read_record(row: Row) -> JobRecord | None:
    """Return the job in a row, or None if it is malformed or of a newer schema."""
    try:
        record = RECORD.validate_python(row.value)
    except ValidationError as error:
        problem = error.errors(include_url=False)[0]["msg"]
        log(JOB_ROW_MALFORMED, key=row.key, error=problem)
        return None
    if record.schema > JOB_SCHEMA:
        log(JOB_ROW_MALFORMED, key=row.key, error=f"schema {record.schema}")
        return None
    return record


def read_jobs(message: RowsRead, shard: str) -> JobsRead:
    """Return the jobs and cancellations in a listing of a shard."""
    prefix = job_prefix(shard)
    epoch = int(message.read_id.rpartition(":")[2])
    records = [read_record(row) for row in _job_rows(message.rows)]
    cancelled = tuple(
        row.key.removeprefix(prefix).removesuffix(CANCEL_SUFFIX)
        for row in message.rows
        if row.key.endswith(CANCEL_SUFFIX)
    )
    return JobsRead(
        epoch=epoch,
        records=tuple(record for record in records if record is not None),
        cancelled=cancelled,
    )


def read_guarantees(rows: Iterable[Row]) -> tuple[GuaranteeStatus, ...]:
    """Return the status of guarantees in rows; log and skip malformed rows."""
    guarantees: tuple[GuaranteeStatus, ...] = ()
    for row in rows:
        try:
            guarantees += GUARANTEES.validate_python(row.value.get("shapes"))
        except ValidationError as error:
            problem = error.errors(include_url=False)[0]["msg"]
            log(JOB_ROW_MALFORMED, key=row.key, error=problem)
    return guarantees


def _job_rows(rows: Iterable[Row]) -> list[Row]:
    return [row for row in rows if not row.key.endswith(CANCEL_SUFFIX)]
