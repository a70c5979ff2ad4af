"""Handle the reports that agents send about their workers' tasks.

The scheduler of the shard's owner applies them to the members of its gangs.
"""

from __future__ import annotations

from functools import singledispatch

from ..command import Command, SendToAgent
from ..membership.member import FromAgent
from ..message import Message
from ..protocol import (
    Heartbeat,
    Reason,
    StopTask,
    TaskFinished,
    TaskInventory,
    TaskRefused,
    TaskReserved,
    TaskStarted,
    TaskStatus,
    TaskStopped,
)
from .job import (
    AgentClock,
    decide,
    ENDED_PHASES,
    GangMember,
    handle_job_event,
    MemberLost,
    MemberPhase,
    SchedulerState,
)

TaskReport = TaskReserved | TaskRefused | TaskStarted | TaskFinished | TaskStopped


@decide.register
def _(message: FromAgent, scheduler: SchedulerState, now: float) -> list[Command]:
    if not scheduler.owning:
        return _handle_heartbeat(message, scheduler, now)
    return handle_report(message.message, message.agent_id, scheduler, now)


@singledispatch
def handle_report(
    message: Message, worker_id: str, scheduler: SchedulerState, now: float
) -> list[Command]:
    """Return the commands that a report from a worker's agent causes."""
    return []


@handle_report.register
def _(
    message: Heartbeat, worker_id: str, scheduler: SchedulerState, now: float
) -> list[Command]:
    if worker_id in scheduler.clocks:
        scheduler.clocks[worker_id] = AgentClock(message.clock, now)
    return []


@handle_report.register
def _(
    message: TaskInventory, worker_id: str, scheduler: SchedulerState, now: float
) -> list[Command]:
    commands: list[Command] = []
    if message.shard != scheduler.shard:
        return commands
    for status in message.tasks:
        job = scheduler.jobs.get(status.task_id.rsplit(".", 2)[0])
        member = job.members.get(status.task_id) if job else None
        if (
            job
            and member
            and member.phase is MemberPhase.STARTED
            and not status.started
        ):
            # A restarted agent accepted a late reservation; the former task was lost.
            commands += handle_job_event(MemberLost(), scheduler, job, now)
            continue
        report = _report_from_status(status)
        commands += handle_report(report, worker_id, scheduler, now)
    return commands


@handle_report.register(TaskReserved)
@handle_report.register(TaskRefused)
@handle_report.register(TaskStarted)
@handle_report.register(TaskFinished)
@handle_report.register(TaskStopped)
def _(
    message: TaskReport, worker_id: str, scheduler: SchedulerState, now: float
) -> list[Command]:
    if isinstance(message, TaskRefused) and message.reason is Reason.STALE_EPOCH:
        # Another entry owns the shard; the refusal says nothing about the task.
        return []
    job = scheduler.jobs.get(message.task_id.rsplit(".", 2)[0])
    member = job.members.get(message.task_id) if job else None
    if job is None or member is None or member.assignment.worker_id != worker_id:
        return stop_orphan(message, worker_id, scheduler, now)
    if member.phase in ENDED_PHASES:
        return []
    apply_report(message, member)
    if isinstance(message, TaskFinished):
        job_id = job.record.job_id
        scheduler.health.record(worker_id, job_id, message.succeeded)
    return handle_job_event(message, scheduler, job, now)


def stop_orphan(
    message: TaskReport, worker_id: str, scheduler: SchedulerState, now: float
) -> list[Command]:
    """Stop a reported task that belongs to no current gang."""
    ended = isinstance(message, TaskRefused | TaskFinished | TaskStopped)
    # A new owner that has yet to read the jobs can't tell which tasks belong to none.
    if ended or not scheduler.jobs_read or not scheduler.lease.may_renew(now):
        return []
    stop = StopTask(
        task_id=message.task_id,
        shard=scheduler.shard,
        shard_epoch=scheduler.lease.epoch,
        gang_epoch=message.gang_epoch,
        reason=Reason.GANG_INCOMPLETE,
    )
    return [SendToAgent(agent_id=worker_id, message=stop)]


@singledispatch
def apply_report(message: Message, member: GangMember) -> None:
    """Update a member from a report of its agent."""


@apply_report.register
def _(message: TaskReserved, member: GangMember) -> None:
    if member.phase is MemberPhase.PLACED:
        member.phase = MemberPhase.RESERVED


@apply_report.register
def _(message: TaskStarted, member: GangMember) -> None:
    member.phase = MemberPhase.STARTED


@apply_report.register
def _(message: TaskRefused, member: GangMember) -> None:
    member.phase = MemberPhase.GONE


@apply_report.register
def _(message: TaskStopped, member: GangMember) -> None:
    member.phase = MemberPhase.GONE
    member.checkpoint = message.checkpoint


@apply_report.register
def _(message: TaskFinished, member: GangMember) -> None:
    member.phase = MemberPhase.FINISHED
    member.succeeded = message.succeeded
    member.result = message.result


def _report_from_status(status: TaskStatus) -> TaskReserved | TaskStarted:
    kind = TaskStarted if status.started else TaskReserved
    return kind(task_id=status.task_id, gang_epoch=status.gang_epoch)


def _handle_heartbeat(
    message: FromAgent, scheduler: SchedulerState, now: float
) -> list[Command]:
    content = message.message
    if isinstance(content, Heartbeat):
        return handle_report(content, message.agent_id, scheduler, now)
    return []
