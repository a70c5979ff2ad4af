"""Account for the service that callers of jobs received, from log records.

Designed for a day's logs of about 70 processes, with several owners in turn. The state of
a job is dropped soon after its end was read, so that memory is bounded for logs of any
length.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from .log_record import JobRecord, JobTermsRecord
from .open_job import OpenJob
from .service_group import count_name, OTHER_NAME, ServiceGroup

OPEN_JOB_LIMIT = 100_000
"""Jobs whose state is held; the oldest ones beyond it are closed early."""

SETTLING_TIME = 60.0
"""Seconds of log time after a job's end until its state is dropped.

Runs of a cancelled job end after it: once they have stopped, or after the lease horizon
if their worker was lost.
"""

HELD_RECORD_LIMIT = 1_000_000
"""Records of open jobs; a job that runs without end would collect them otherwise."""

CLOSED_JOB_LIMIT = 100_000
"""Closed jobs that are remembered, so that the log of another process adds nothing."""

WORKER_LIMIT = 100_000
"""Workers whose data centre is remembered; others count as unknown."""

GROUP_LIMIT = 1000
"""Distinct queues, organisations or data centres; further ones are summed up."""

UNKNOWN = "unknown"


class Grouping(StrEnum):
    """Define by what the report is grouped."""

    QUEUE = "queue"
    ORGANISATION = "organisation"
    DATA_CENTRE = "data-centre"


@dataclass(slots=True, kw_only=True)
class ClosedJob:
    """Represent a job whose state was dropped; accepted is as in OpenJob."""

    queue: str
    organisation: str
    accepted: bool


@dataclass(slots=True)
class ServiceAccount:
    """Represent the account of the records that were read so far.

    settling contains the jobs whose end was read, with its time in seconds since the
    epoch. closed_early counts jobs that were closed before their end because of a limit,
    late the records on closed jobs, and dropped the records that processes report as not
    written.
    """

    groups: dict[Grouping, dict[str, ServiceGroup]] = field(
        default_factory=lambda: {grouping: {} for grouping in Grouping}
    )
    jobs: dict[str, OpenJob] = field(default_factory=dict)
    closed: dict[str, ClosedJob] = field(default_factory=dict)
    data_centres: dict[str, str] = field(default_factory=dict)
    settling: deque[tuple[float, str]] = field(default_factory=deque)
    held: int = 0
    closed_early: int = 0
    late: int = 0
    dropped: int = 0

    def settle(self, now: float) -> None:
        """Close the jobs that had ended a while before a time of the logs."""
        while self.settling and self.settling[0][0] < now - SETTLING_TIME:
            _, job_id = self.settling.popleft()
            if job_id in self.jobs:
                self.close(self.jobs[job_id])

    def finish(self) -> None:
        """Close all jobs."""
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
            oldest = next(iter(self.jobs.values()))
            self.closed_early += not oldest.end_state
            self.close(oldest)

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
