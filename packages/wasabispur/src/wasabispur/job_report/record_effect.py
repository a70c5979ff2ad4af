"""Add log records to the account of the service that callers received."""

from __future__ import annotations

from functools import singledispatch
from typing import TypeVar

from .log_record import (
    JobAccepted,
    JobEnded,
    JobRead,
    JobRefused,
    JobTermsRecord,
    JobUncertain,
    LogRecord,
    RecordsDropped,
    RoomIdled,
    RunEnded,
    UnitPlaced,
    UnitStopped,
    WorkerRead,
)
from .open_job import OpenJob, RunKey
from .service_account import ServiceAccount, UNKNOWN, WORKER_LIMIT

SUBMISSION = "SubmitJob"
"""Name of the request of a refusal that concerns a new job."""

Value = TypeVar("Value")


def add_record(record: LogRecord, account: ServiceAccount) -> None:
    """Add one record, and close the jobs that had ended a while before it."""
    account.settle(record.time.timestamp())
    apply_record(record, account)


@singledispatch
def apply_record(record: LogRecord, account: ServiceAccount) -> None:
    """Add one record to an account; most events tell nothing of the service."""


@apply_record.register
def _(record: RecordsDropped, account: ServiceAccount) -> None:
    account.dropped += record.count


@apply_record.register
def _(record: WorkerRead, account: ServiceAccount) -> None:
    if record.data_centre and (
        record.worker in account.data_centres
        or len(account.data_centres) < WORKER_LIMIT
    ):
        account.data_centres[record.worker] = record.data_centre


@apply_record.register
def _(record: JobAccepted, account: ServiceAccount) -> None:
    job = _accept(record, account)
    if job is not None and job.accepted_at is None:
        job.accepted_at = record.time.timestamp()


@apply_record.register
def _(record: JobRead, account: ServiceAccount) -> None:
    job = _accept(record, account)
    if job is not None and job.owner_accepted_at is None:
        job.owner_accepted_at = record.time.timestamp() - record.age


def _accept(record: JobTermsRecord, account: ServiceAccount) -> OpenJob | None:
    closed = account.closed.get(record.job)
    if closed is not None:
        account.accept_closed(closed)
        return None
    job = account.open_job(record)
    if job is not None:
        job.accepted = True
        account.limit()
    return job


@apply_record.register
def _(record: JobRefused, account: ServiceAccount) -> None:
    if record.request not in ("", SUBMISSION):
        return
    job = account.open_job(record)
    if job is not None:
        job.refusal = record.cause or _short(record.reason)
        account.limit()


@apply_record.register
def _(record: JobUncertain, account: ServiceAccount) -> None:
    job = account.open_job(record)
    if job is not None:
        job.uncertain = True
        account.limit()


@apply_record.register
def _(record: UnitPlaced, account: ServiceAccount) -> None:
    job = account.open_job(record)
    if job is None:
        return
    at = record.time.timestamp()
    if job.first_placed_at is None or at < job.first_placed_at:
        job.first_placed_at = at
    _hold(job.placements, (record.unit, record.run), record.workers, account)


@apply_record.register
def _(record: UnitStopped, account: ServiceAccount) -> None:
    job = account.open_job(record)
    if job is not None:
        _hold(job.stops, (record.unit, record.run), record.cause.value, account)


@apply_record.register
def _(record: RunEnded, account: ServiceAccount) -> None:
    job = account.open_job(record)
    if job is not None:
        _hold(job.ends, (record.task, record.run), record, account)


@apply_record.register
def _(record: RoomIdled, account: ServiceAccount) -> None:
    job = account.open_job(record)
    if job is not None:
        if record.unit not in job.idle:
            account.held += 1
        job.idle[record.unit] = job.idle.get(record.unit, 0.0) + record.idle
        account.limit()


@apply_record.register
def _(record: JobEnded, account: ServiceAccount) -> None:
    job = account.open_job(record)
    if job is not None and not job.end_state:
        job.end_state = record.state
        account.settling.append((record.time.timestamp(), job.job_id))


def _hold(
    held: dict[RunKey, Value], key: RunKey, value: Value, account: ServiceAccount
) -> None:
    """Hold a value unless the log of another owner has told the same."""
    if key not in held:
        held[key] = value
        account.held += 1
    account.limit()


def _short(reason: str) -> str:
    """Return the beginning of a reason, without its details, as a name to count by."""
    return reason.partition(";")[0].partition(":")[0].strip() or UNKNOWN
