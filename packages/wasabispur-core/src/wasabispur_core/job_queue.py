"""Load, place, renew and expire the jobs of a shard as time passes."""

from __future__ import annotations

from dataclasses import dataclass

from .command import Command, ReadRows, SendToAgent
from .explain import record_causes
from .gang import stop_commands
from .job import (
    CancelRequested,
    decide,
    ENDED_PHASES,
    fire,
    Job,
    JobBoard,
    JobLoaded,
    Member,
    MemberLost,
)
from .job_lease import lease_bound, TASK_LEASE, TASK_RENEWAL
from .job_place import place_waiting
from .job_record import cancel_key, job_prefix, JobRecord
from .message import Message
from .ownership import ShardAcquired, ShardLost, WriteRow
from .protocol import JobCancelled, JobSubmitted, Reason, RenewTasks

LISTING_INTERVAL = 5.0
"""Seconds between two readings of the shard's rows."""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobTick(Message):
    """Tell the job component that time has passed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobsRead(Message):
    """Deliver the shard's jobs and the ids of those that callers cancelled."""

    epoch: int
    records: tuple[JobRecord, ...]
    cancelled: tuple[str, ...]


@decide.register
def _(message: ShardAcquired, board: JobBoard, now: float) -> list[Command]:
    board.owning = True
    board.acquired = now
    board.next_listing = now + LISTING_INTERVAL
    return [list_jobs(board)]


@decide.register
def _(message: ShardLost, board: JobBoard, now: float) -> list[Command]:
    board.owning = False
    board.jobs.clear()
    board.ended.clear()
    board.fleet.holders.clear()
    board.fleet.plain_tasks.clear()
    return []


@decide.register(JobSubmitted)
@decide.register(JobCancelled)
def _(
    message: JobSubmitted | JobCancelled, board: JobBoard, now: float
) -> list[Command]:
    return [list_jobs(board)] if board.owning else []


@decide.register
def _(message: JobsRead, board: JobBoard, now: float) -> list[Command]:
    if not board.owning or message.epoch != board.lease.epoch:
        return []
    commands: list[Command] = []
    for record in message.records:
        if record.job_id not in board.jobs and record.job_id not in board.ended:
            job = Job(record, board.chart.start())
            board.jobs[record.job_id] = job
            commands += fire(JobLoaded(), board, job, now)
    for job_id in message.cancelled:
        commands += cancel(board, job_id, now)
    return [*commands, *renew(board, now), *place_waiting(board, now)]


@decide.register
def _(message: JobTick, board: JobBoard, now: float) -> list[Command]:
    if not board.owning:
        return []
    commands = expire_members(board, now)
    if now >= board.next_listing:
        board.next_listing = now + LISTING_INTERVAL
        commands.append(list_jobs(board))
        commands += record_causes(board, now)
    if now >= board.next_renewal:
        board.next_renewal = now + TASK_RENEWAL
        commands += renew(board, now)
    return [*commands, *place_waiting(board, now)]


def list_jobs(board: JobBoard) -> Command:
    """Return the command that reads all rows of the shard's jobs."""
    prefix = job_prefix(board.shard)
    return ReadRows(read_id=f"{prefix}:{board.lease.epoch}", prefix=prefix)


def cancel(board: JobBoard, job_id: str, now: float) -> list[Command]:
    """Cancel a job once; drop the request if the job has ended."""
    job = board.jobs.get(job_id)
    if job is None:
        return [WriteRow(key=cancel_key(board.shard, job_id), value=None)]
    if job.cancelled:
        return []
    job.cancelled = True
    return fire(CancelRequested(), board, job, now)


def expire_members(board: JobBoard, now: float) -> list[Command]:
    """Stop gangs with a silent member, and settle those whose bound has passed."""
    commands: list[Command] = []
    for job in list(board.jobs.values()):
        for member in list(job.members.values()):
            if is_due(job, member, now):
                member.lost = True
                commands += fire(MemberLost(), board, job, now)
    return commands


def is_due(job: Job, member: Member, now: float) -> bool:
    """Return whether a member's silence has to be dealt with now."""
    state = job.lifecycle.state
    # The loss of one member may have ended the gang before the next is looked at.
    if state in ("queued", "placing", "finishing", "held", "ended"):
        return False
    if member.phase in ENDED_PHASES:
        return False
    newly_lost = not member.lost and now >= member.deadline
    return newly_lost or (state == "stopping" and now >= member.bound)


def renew(board: JobBoard, now: float) -> list[Command]:
    """Extend all leases with one message per agent, and repeat pending stops."""
    if not board.lease.may_renew(now):
        return []
    commands: list[Command] = []
    tasks: dict[str, list[str]] = {}
    for job in board.jobs.values():
        if job.lifecycle.state == "stopping":
            commands += stop_commands(board, job, Reason.GANG_INCOMPLETE, now)
            continue
        if job.lifecycle.state == "placing":
            continue
        for member in job.members.values():
            clock = board.clocks.get(member.seat.worker_id)
            if clock is None or member.phase in ENDED_PHASES or member.lost:
                continue
            member.extend(lease_bound(clock))
            tasks.setdefault(member.seat.worker_id, []).append(member.task_id)
    for worker_id, task_ids in tasks.items():
        message = RenewTasks(
            shard=board.shard,
            shard_epoch=board.lease.epoch,
            task_ids=tuple(task_ids),
            lease=TASK_LEASE,
            anchor=board.clocks[worker_id].clock,
        )
        commands.append(SendToAgent(agent_id=worker_id, message=message))
    return commands
