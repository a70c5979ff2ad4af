"""Account for the service that callers of jobs received, from log records.

The load behind this: a day's logs of some 70 processes, of which several were owner in
turn, that don't show by themselves who waited, who was rejected, where work ran, and
which organisations and queues bore the cost. A job's state is dropped once its end has
been read, so that memory stays bounded on a log of any length.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from functools import singledispatch
from typing import TypeVar

from .log_record import (
    JobAccepted,
    JobEnded,
    JobRead,
    JobRecord,
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
from .service_group import count_name, OTHER_NAME, ServiceGroup

OPEN_JOB_LIMIT = 100_000
"""Jobs whose end has not been read; the oldest ones beyond it are closed as open."""

HELD_RECORD_LIMIT = 1_000_000
"""Records of open jobs; a job that runs without end would collect them otherwise."""

CLOSED_JOB_LIMIT = 100_000
"""Closed jobs that are remembered, so that the log of another process adds nothing."""

WORKER_LIMIT = 100_000
"""Workers whose data centre is remembered."""

GROUP_LIMIT = 1000
"""Distinct queues or organisations; others are summed up."""

SUBMISSION = "SubmitJob"
"""Name of the request of a refusal that concerns a new job."""

UNKNOWN = "unknown"

Value = TypeVar("Value")


class Grouping(StrEnum):
    """Define by what the report is grouped."""

    QUEUE = "queue"
    ORGANISATION = "organisation"
    DATA_CENTRE = "data-centre"


@dataclass(slots=True, kw_only=True)
class ClosedJob:
    """Represent a job whose end has been read; accepted as in OpenJob."""

    queue: str
    organisation: str
    accepted: bool


@dataclass(slots=True)
class ServiceAccount:
    """Represent the account of the records that were read so far.

    closed_early counts jobs that were closed before their end because of a limit, late
    the records on jobs after that or after their end, and dropped the records that
    processes report as not written.
    """

    groups: dict[Grouping, dict[str, ServiceGroup]] = field(
        default_factory=lambda: {grouping: {} for grouping in Grouping}
    )
    jobs: dict[str, OpenJob] = field(default_factory=dict)
    closed: dict[str, ClosedJob] = field(default_factory=dict)
    data_centres: dict[str, str] = field(default_factory=dict)
    held: int = 0
    closed_early: int = 0
    late: int = 0
    dropped: int = 0

    def add(self, record: LogRecord) -> None:
        """Add one record."""
        apply_record(record, self)

    def finish(self) -> None:
        """Close all jobs whose end has not been read."""
        while self.jobs:
            self.close(next(iter(self.jobs.values())))

    def group(self, grouping: Grouping, name: str) -> ServiceGroup:
        """Return a group, or that of all others if there are too many."""
        groups = self.groups[grouping]
        name = name or UNKNOWN
        if name not in groups and len(groups) >= GROUP_LIMIT:
            name = OTHER_NAME
        return groups.setdefault(name, ServiceGroup())

    def open_job(self, record: JobRecord) -> OpenJob | None:
        """Return the job of a record, or None if it is closed."""
        if record.job in self.closed:
            self.late += 1
            return None
        job = self.jobs.get(record.job)
        if job is None:
            job = self.jobs[record.job] = OpenJob(job_id=record.job)
            self.held += job.held
        if isinstance(record, JobTermsRecord):
            job.queue = record.queue or job.queue
            job.organisation = record.organisation or job.organisation
        return job

    def limit(self) -> None:
        """Close the oldest jobs beyond the limits."""
        while len(self.jobs) > OPEN_JOB_LIMIT or self.held > HELD_RECORD_LIMIT:
            self.closed_early += 1
            self.close(next(iter(self.jobs.values())))

    def accept_closed(self, job: ClosedJob) -> None:
        """Count the acceptance of a closed job, if it was not counted."""
        if job.accepted:
            return
        job.accepted = True
        self.group(Grouping.QUEUE, job.queue).accepted += 1
        self.group(Grouping.ORGANISATION, job.organisation).accepted += 1

    def close(self, job: OpenJob) -> None:
        """Add a job to its groups, and drop its state."""
        del self.jobs[job.job_id]
        self.held -= job.held
        self.closed[job.job_id] = ClosedJob(
            queue=job.queue, organisation=job.organisation, accepted=job.accepted
        )
        if len(self.closed) > CLOSED_JOB_LIMIT:
            del self.closed[next(iter(self.closed))]
        callers = (
            self.group(Grouping.QUEUE, job.queue),
            self.group(Grouping.ORGANISATION, job.organisation),
        )
        for group in callers:
            group.add_job(job)
        self._add_runs(job, callers)

    def _add_runs(self, job: OpenJob, callers: tuple[ServiceGroup, ...]) -> None:
        for workers in job.placements.values():
            names = self._names(workers)
            for group in callers:
                group.runs += 1
                for name in names:
                    count_name(group.data_centres, name)
            for name in names:
                self.group(Grouping.DATA_CENTRE, name).runs += 1
        for key, cause in job.stops.items():
            names = self._names(job.placements.get(key, ()))
            places = [self.group(Grouping.DATA_CENTRE, name) for name in names]
            for group in (*callers, *places):
                group.stops[cause] += 1
        for end in job.ends.values():
            (name,) = self._names((end.worker,))
            for group in (*callers, self.group(Grouping.DATA_CENTRE, name)):
                group.add_end(end)

    def _names(self, workers: tuple[str, ...]) -> list[str]:
        """Return the distinct data centres of workers."""
        names = {self.data_centres.get(worker) or UNKNOWN for worker in workers}
        return sorted(names) or [UNKNOWN]


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
    if job is not None:
        job.end_state = record.state
        account.close(job)


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
