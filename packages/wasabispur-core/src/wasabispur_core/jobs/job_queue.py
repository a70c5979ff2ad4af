"""Load a shard's jobs, and renew and expire their tasks as time passes.

This part of the scheduler acts only at the entry instance that owns the shard.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..command import Command, ReadRows, SendToAgent
from ..message import Message
from ..protocol import JobCancelled, JobSubmitted, Reason, RenewTasks, TASK_LEASE
from ..sharding.ownership import ShardAcquired, ShardLost, WriteRow
from .explain import record_causes
from .gang import stop_commands
from .job import (
    CancelRequested,
    decide,
    ENDED_PHASES,
    GangMember,
    handle_job_event,
    Job,
    JobLoaded,
    MemberLost,
    SchedulerState,
)
from .job_lease import lease_bound, TASK_RENEWAL_INTERVAL
from .job_placement import place_queued_jobs
from .job_record import cancel_key, job_prefix, JobRecord

LISTING_INTERVAL = 5.0
"""Seconds between two reads of the shard's job rows."""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobTick(Message):
    """Report to the scheduler that time has passed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobsRead(Message):
    """Deliver the shard's jobs and the ids of those that callers cancelled."""

    epoch: int
    records: tuple[JobRecord, ...]
    cancelled: tuple[str, ...]


@decide.register
def _(message: ShardAcquired, scheduler: SchedulerState, now: float) -> list[Command]:
    scheduler.owning = True
    scheduler.acquired_at = now
    scheduler.next_listing = now + LISTING_INTERVAL
    return [list_jobs(scheduler)]


@decide.register
def _(message: ShardLost, scheduler: SchedulerState, now: float) -> list[Command]:
    scheduler.owning = scheduler.jobs_read = False
    scheduler.jobs.clear()
    scheduler.ended.clear()
    scheduler.fleet.holders.clear()
    scheduler.fleet.cpu_tasks.clear()
    return []


@decide.register(JobSubmitted)
@decide.register(JobCancelled)
def _(
    message: JobSubmitted | JobCancelled, scheduler: SchedulerState, now: float
) -> list[Command]:
    return [list_jobs(scheduler)] if scheduler.owning else []


@decide.register
def _(message: JobsRead, scheduler: SchedulerState, now: float) -> list[Command]:
    if not scheduler.owning or message.epoch != scheduler.lease.epoch:
        return []
    scheduler.jobs_read = True
    commands: list[Command] = []
    for record in message.records:
        if record.job_id not in scheduler.jobs and record.job_id not in scheduler.ended:
            job = Job(record, scheduler.chart.start())
            scheduler.jobs[record.job_id] = job
            commands += handle_job_event(JobLoaded(), scheduler, job, now)
    for job_id in message.cancelled:
        commands += cancel_job(scheduler, job_id, now)
    return [
        *commands,
        *renew_leases(scheduler, now),
        *place_queued_jobs(scheduler, now),
    ]


@decide.register
def _(message: JobTick, scheduler: SchedulerState, now: float) -> list[Command]:
    if not scheduler.owning:
        return []
    commands = expire_members(scheduler, now)
    if now >= scheduler.next_listing:
        scheduler.next_listing = now + LISTING_INTERVAL
        commands.append(list_jobs(scheduler))
        commands += record_causes(scheduler, now)
    if now >= scheduler.next_renewal:
        scheduler.next_renewal = now + TASK_RENEWAL_INTERVAL
        commands += renew_leases(scheduler, now)
    return [*commands, *place_queued_jobs(scheduler, now)]


def list_jobs(scheduler: SchedulerState) -> Command:
    """Return the command that reads all rows of the shard's jobs."""
    prefix = job_prefix(scheduler.shard)
    return ReadRows(read_id=f"{prefix}:{scheduler.lease.epoch}", prefix=prefix)


def cancel_job(scheduler: SchedulerState, job_id: str, now: float) -> list[Command]:
    """Cancel a job once.

    If the owner has no such job, it has ended, and the cancellation row is deleted.
    """
    job = scheduler.jobs.get(job_id)
    if job is None:
        return [WriteRow(key=cancel_key(scheduler.shard, job_id), value=None)]
    if job.cancelled:
        return []
    job.cancelled = True
    return handle_job_event(CancelRequested(), scheduler, job, now)


def expire_members(scheduler: SchedulerState, now: float) -> list[Command]:
    """Report members past their deadline or their latest end to the state chart.

    The deadline stops the rest of a gang, the latest end lets a stopping gang end.
    """
    commands: list[Command] = []
    for job in list(scheduler.jobs.values()):
        for member in list(job.members.values()):
            if needs_expiry(job, member, now):
                member.lost = True
                commands += handle_job_event(MemberLost(), scheduler, job, now)
    return commands


def needs_expiry(job: Job, member: GangMember, now: float) -> bool:
    """Return whether a member has newly passed a time that its gang has to handle."""
    state = job.lifecycle.state
    # Handling the loss of another member may have ended the gang already.
    if state in ("queued", "placing", "finishing", "held", "ended"):
        return False
    if member.phase in ENDED_PHASES:
        return False
    newly_lost = not member.lost and now >= member.deadline
    return newly_lost or (state == "stopping" and now >= member.latest_end)


def renew_leases(scheduler: SchedulerState, now: float) -> list[Command]:
    """Extend all task leases with one message per agent, and repeat pending stops."""
    if not scheduler.lease.may_renew(now):
        return []
    commands: list[Command] = []
    tasks: dict[str, list[str]] = {}
    for job in scheduler.jobs.values():
        if job.lifecycle.state == "stopping":
            commands += stop_commands(scheduler, job, Reason.GANG_INCOMPLETE, now)
            continue
        if job.lifecycle.state == "placing":
            continue
        for member in job.members.values():
            clock = scheduler.clocks.get(member.assignment.worker_id)
            if clock is None or member.phase in ENDED_PHASES or member.lost:
                continue
            member.extend_lease(lease_bound(clock))
            tasks.setdefault(member.assignment.worker_id, []).append(member.task_id)
    for worker_id, task_ids in tasks.items():
        message = RenewTasks(
            shard=scheduler.shard,
            shard_epoch=scheduler.lease.epoch,
            task_ids=tuple(task_ids),
            lease=TASK_LEASE,
            anchor=scheduler.clocks[worker_id].clock,
        )
        commands.append(SendToAgent(agent_id=worker_id, message=message))
    return commands
