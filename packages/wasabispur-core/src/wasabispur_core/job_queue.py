"""Load, place, renew and expire the jobs of a shard as time passes."""

from __future__ import annotations

from dataclasses import dataclass

from .command import Command, ReadRows, SendToAgent
from .gang import stop_commands
from .job import (
    CancelRequested,
    decide,
    ENDED_PHASES,
    fire,
    GangPlaced,
    Job,
    JobBoard,
    JobLoaded,
    JobRejected,
    MemberLost,
)
from .job_lease import lease_bound, TASK_LEASE, TASK_RENEWAL
from .job_record import cancel_key, job_prefix, JobRecord
from .message import Message
from .ownership import ShardAcquired, ShardLost, WriteRow
from .placement import impossible_reason, place_gang
from .protocol import JobCancelled, JobSubmitted, Reason, RenewTasks

LISTING_INTERVAL = 5.0
"""Seconds between two readings of the shard's rows."""

SETTLE_TIME = 30.0
"""Seconds after a takeover in which workers may still attach, so that no job is
rejected as too large."""


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
        if job.lifecycle.state in ("queued", "placing"):
            continue
        silent = [m for m in job.members.values() if m.phase not in ENDED_PHASES]
        for member in silent:
            stopping = job.lifecycle.state == "stopping"
            newly = not member.lost and now >= member.deadline
            if newly or (stopping and now >= member.bound):
                member.lost = True
                commands += fire(MemberLost(), board, job, now)
    return commands


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


def place_waiting(board: JobBoard, now: float) -> list[Command]:
    """Place the waiting jobs that fit, in the order of their submission."""
    if not board.lease.may_start(now):
        return []
    waiting = [job for job in board.jobs.values() if job.lifecycle.state == "queued"]
    waiting.sort(key=lambda job: (job.record.sequence, job.record.job_id))
    commands: list[Command] = []
    for job in waiting:
        commands += place_job(board, job, now)
    return commands


def place_job(board: JobBoard, job: Job, now: float) -> list[Command]:
    """Place one job if there is room, or reject it if there never will be."""
    size = job.record.spec.size
    seats = place_gang(board.fleet, size)
    if seats is not None:
        return fire(GangPlaced(seats=seats), board, job, now)
    settled = now - board.acquired >= SETTLE_TIME
    reason = impossible_reason(board.fleet, size) if settled else ""
    if reason:
        return fire(JobRejected(reason=reason), board, job, now)
    return []
