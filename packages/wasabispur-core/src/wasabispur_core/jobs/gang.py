"""Build the commands and row writes that a change of a gang causes.

A gang consists of the tasks of one job, which start together or not at all. Its state
is in job.py, at the entry instance that owns the shard.
"""

from __future__ import annotations

from ..command import CancelTimer, Command, SendToAgent, SetTimer
from ..protocol import Reason, StopTask
from ..sharding.ownership import WriteRow
from .job import (
    ENDED_PHASES,
    GangMember,
    Job,
    MemberPhase,
    ReservationExpired,
    SchedulerState,
)
from .job_record import cancel_key, ended_key, job_key, JobRecord, to_value
from .placement import Assignment

FAILED_WORKERS_LIMIT = 3
"""Number of workers on which a job fails before it is held."""

RESERVATION_TIMEOUT = 5.0
"""Seconds that a gang may take to reserve its members, and again to start them."""


def failed_workers(job: Job) -> tuple[str, ...]:
    """Return the workers on which the job has failed, this run included."""
    failed = {
        member.assignment.worker_id
        for member in job.members.values()
        if member.phase is MemberPhase.FINISHED and not member.succeeded
    }
    return tuple(sorted({*job.record.failed_workers, *failed}))


def stop_commands(
    scheduler: SchedulerState, job: Job, reason: Reason, now: float
) -> list[Command]:
    """Return the commands that stop the members which may still run."""
    if not scheduler.lease.may_renew(now):
        return []
    commands: list[Command] = []
    for member in job.members.values():
        if member.phase in ENDED_PHASES:
            continue
        stop = StopTask(
            task_id=member.task_id,
            shard=scheduler.shard,
            shard_epoch=scheduler.lease.epoch,
            gang_epoch=job.record.gang_epoch,
            reason=reason,
            checkpoint=not job.cancelled,
        )
        commands.append(SendToAgent(agent_id=member.assignment.worker_id, message=stop))
    return commands


def write_record(
    scheduler: SchedulerState, job: Job, record: JobRecord
) -> list[Command]:
    """Change a job's record and write its row."""
    scheduler.write_count += 1
    job.record, job.write_number = record, scheduler.write_count
    key = job_key(scheduler.shard, record.job_id)
    return [WriteRow(key=key, value=to_value(record), number=scheduler.write_count)]


def archive_record(
    scheduler: SchedulerState, job: Job, record: JobRecord
) -> list[Command]:
    """Move a job's row to the ended jobs, which the owner no longer reads."""
    scheduler.write_count += 1
    job.record, job.write_number = record, scheduler.write_count
    archived = WriteRow(
        key=ended_key(scheduler.shard, record.job_id), value=to_value(record)
    )
    commands: list[Command] = [cancel_gang_timer(job), archived]
    if job.cancelled:
        key = cancel_key(scheduler.shard, record.job_id)
        commands.append(WriteRow(key=key, value=None))
    key = job_key(scheduler.shard, record.job_id)
    return [*commands, WriteRow(key=key, value=None, number=scheduler.write_count)]


def create_members(
    scheduler: SchedulerState,
    job: Job,
    assignments: tuple[Assignment, ...],
    deadline: float,
    latest_end: float,
) -> None:
    """Create one member for each assignment and allocate its accelerators."""
    job.members = {}
    for index, assignment in enumerate(assignments):
        task_id = f"{job.record.job_id}.{job.record.gang_epoch}.{index}"
        job.members[task_id] = GangMember(assignment, task_id, deadline, latest_end)
        scheduler.fleet.hold(assignment.worker_id, assignment.accelerators, task_id)


def set_gang_timer(job: Job) -> SetTimer:
    """Return the command that arms the reservation timer of a gang."""
    return SetTimer(
        timer_id=f"gang:{job.record.job_id}",
        delay=RESERVATION_TIMEOUT,
        message=ReservationExpired(
            job_id=job.record.job_id, gang_epoch=job.record.gang_epoch
        ),
    )


def cancel_gang_timer(job: Job) -> CancelTimer:
    """Return the command that cancels the reservation timer of a gang."""
    return CancelTimer(timer_id=f"gang:{job.record.job_id}")
