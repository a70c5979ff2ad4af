"""Define the actions of the job state chart.

The scheduler of the shard's owner runs them: they write the job's row and send
commands to the agents of the job's workers.
"""

from __future__ import annotations

from dataclasses import replace

from ..action import perform
from ..chart import Chart, ChartCatalogue
from ..command import Command, SendToAgent
from ..protocol import (
    Reason,
    ReserveTask,
    StartTask,
    TASK_LEASE,
    TaskFinished,
    TaskRefused,
    TaskStopped,
)
from . import job_guard as job_guard
from .gang import (
    archive_record,
    cancel_gang_timer,
    create_members,
    failed_workers,
    set_gang_timer,
    stop_commands,
    write_record,
)
from .job import (
    DataCentreCordoned,
    GangPlaced,
    Job,
    JobAction,
    JobGuard,
    JobRejected,
    MemberLost,
    MemberPhase,
    ReclaimRequested,
)
from .job_lease import adopted_lease_bound, adoption_deadline, lease_bound
from .job_record import Cause, JobState
from .job_run_time import record_job
from .reclaim import placement_cause


class AdoptGang(JobAction):
    """Take over the gang that a former owner placed."""

    __slots__ = ()


class RecordPlacement(JobAction):
    """Allocate the accelerators and write the placement under a new gang epoch."""

    __slots__ = ()


class RecordRejected(JobAction):
    """Write that the job is rejected because it can never run."""

    __slots__ = ()


class RecordCancelled(JobAction):
    """Write that the job was cancelled."""

    __slots__ = ()


class RecordStart(JobAction):
    """Write that members of the gang may start from now on."""

    __slots__ = ()


class RecordRunning(JobAction):
    """Write that all members of the gang have started."""

    __slots__ = ()


class RecordCompleted(JobAction):
    """Write that the job completed, with the results of all members."""

    __slots__ = ()


class RecordFailed(JobAction):
    """Write that the job failed, with the results of all members."""

    __slots__ = ()


class RecordHeld(JobAction):
    """Write that the job is held until an operator cancels it."""

    __slots__ = ()


class Requeue(JobAction):
    """Write that the job is queued for a new placement."""

    __slots__ = ()


class SendReserves(JobAction):
    """Ask all members for a reservation and arm the reservation timer."""

    __slots__ = ()


class SendStarts(JobAction):
    """Send the start command to all members and arm the timer again."""

    __slots__ = ()


class StopMembers(JobAction):
    """Stop every member that may still run or hold accelerators."""

    __slots__ = ()


class DiscardMembers(JobAction):
    """Discard a gang before a command was sent to any of its agents."""

    __slots__ = ()


def job_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the job state chart bound to its actions and guards."""
    return catalogue.bind(
        "job",
        actions=JobAction.__subclasses__(),
        guards=JobGuard.__subclasses__(),
    )


@perform.register
def _(action: AdoptGang) -> list[Command]:
    scheduler, job = action.state, action.subject
    deadline, latest_end = adoption_deadline(scheduler), adopted_lease_bound(scheduler)
    create_members(scheduler, job, job.record.assignments, deadline, latest_end)
    return []


@perform.register
def _(action: RecordPlacement) -> list[Command]:
    scheduler, job, message = action.state, action.subject, action.message
    if not isinstance(message, GangPlaced):
        return []
    job.record = replace(job.record, gang_epoch=job.record.gang_epoch + 1)
    job.stop_reason = ""
    job.started = action.now
    create_members(scheduler, job, message.assignments, action.now, action.now)
    return write_record(
        scheduler,
        job,
        replace(
            job.record,
            state=JobState.PLACED,
            assignments=message.assignments,
            start_possible=False,
            cause=placement_cause(scheduler, job),
        ),
    )


@perform.register
def _(action: RecordStart) -> list[Command]:
    record = replace(
        action.subject.record, state=JobState.STARTING, start_possible=True
    )
    return write_record(action.state, action.subject, record)


@perform.register
def _(action: RecordRunning) -> list[Command]:
    record = replace(action.subject.record, state=JobState.RUNNING, start_possible=True)
    written = write_record(action.state, action.subject, record)
    return [cancel_gang_timer(action.subject), *written]


@perform.register
def _(action: RecordCompleted) -> list[Command]:
    job = action.subject
    results = tuple(member.result for member in job.members.values())
    record_job(action.state.run_times, job.record, action.now - job.started)
    record = replace(job.record, state=JobState.COMPLETED, results=results, reason="")
    return archive_record(action.state, job, record)


@perform.register
def _(action: RecordFailed) -> list[Command]:
    job = action.subject
    results = tuple(member.result for member in job.members.values())
    record = replace(
        job.record,
        state=JobState.FAILED,
        results=results,
        reason=Reason.TASK_FAILED.value,
    )
    return archive_record(action.state, job, record)


@perform.register
def _(action: RecordHeld) -> list[Command]:
    job = action.subject
    workers = failed_workers(job)
    job.members = {}
    record = replace(
        job.record,
        state=JobState.HELD,
        cause=Cause.HELD,
        assignments=(),
        failed_workers=workers,
        reason=f"failed on {', '.join(workers)}",
    )
    return write_record(action.state, job, record)


@perform.register
def _(action: RecordCancelled) -> list[Command]:
    job = action.subject
    record = replace(job.record, state=JobState.CANCELLED, reason="cancelled")
    return archive_record(action.state, job, record)


@perform.register
def _(action: RecordRejected) -> list[Command]:
    job, message = action.subject, action.message
    reason = message.reason if isinstance(message, JobRejected) else ""
    record = replace(job.record, state=JobState.REJECTED, reason=reason)
    return archive_record(action.state, job, record)


@perform.register
def _(action: Requeue) -> list[Command]:
    job = action.subject
    saved = tuple(member.checkpoint for member in job.members.values())
    # The next run uses the new checkpoints only if every member saved one.
    checkpoints = saved if saved and all(saved) else job.record.checkpoints
    record = replace(
        job.record,
        state=JobState.QUEUED,
        assignments=(),
        start_possible=False,
        reason=job.stop_reason,
        checkpoints=checkpoints,
        preemptions=job.record.preemptions + job.reclaimed,
        failed_workers=failed_workers(job),
    )
    job.members, job.reclaimed = {}, False
    return [cancel_gang_timer(job), *write_record(action.state, job, record)]


@perform.register
def _(action: SendReserves) -> list[Command]:
    scheduler, job, spec = action.state, action.subject, action.subject.record.spec
    commands: list[Command] = [set_gang_timer(job)]
    for index, member in enumerate(job.members.values()):
        clock = scheduler.clocks.get(member.assignment.worker_id)
        if clock is None:
            # Nothing is sent to this agent; the gang timer ends the reservation.
            member.phase = MemberPhase.GONE
            continue
        member.extend_lease(lease_bound(clock))
        reserve = ReserveTask(
            task_id=member.task_id,
            job_id=job.record.job_id,
            shard=scheduler.shard,
            shard_epoch=scheduler.lease.epoch,
            gang_epoch=job.record.gang_epoch,
            accelerators=spec.accelerators,
            command=spec.command,
            lease=TASK_LEASE,
            anchor=clock.clock,
            accelerator_ids=member.assignment.accelerators,
            checkpoint=_checkpoint(job, index),
        )
        commands.append(
            SendToAgent(agent_id=member.assignment.worker_id, message=reserve)
        )
    return commands


@perform.register
def _(action: SendStarts) -> list[Command]:
    scheduler, job = action.state, action.subject
    commands: list[Command] = [set_gang_timer(job)]
    for member in job.members.values():
        clock = scheduler.clocks.get(member.assignment.worker_id)
        if clock is None:
            continue
        member.extend_lease(lease_bound(clock))
        start = StartTask(
            task_id=member.task_id,
            shard=scheduler.shard,
            shard_epoch=scheduler.lease.epoch,
            gang_epoch=job.record.gang_epoch,
            lease=TASK_LEASE,
            anchor=clock.clock,
        )
        commands.append(
            SendToAgent(agent_id=member.assignment.worker_id, message=start)
        )
    return commands


@perform.register
def _(action: StopMembers) -> list[Command]:
    job = action.subject
    job.stop_reason = _stop_reason(action)
    job.reclaimed = isinstance(action.message, ReclaimRequested)
    stops = stop_commands(action.state, job, Reason.GANG_INCOMPLETE, action.now)
    return [cancel_gang_timer(job), *stops]


@perform.register
def _(action: DiscardMembers) -> list[Command]:
    for member in action.subject.members.values():
        member.phase = MemberPhase.GONE
    action.subject.stop_reason = _stop_reason(action)
    action.subject.reclaimed = isinstance(action.message, ReclaimRequested)
    return []


def _stop_reason(action: JobAction) -> str:
    message = action.message
    if isinstance(message, TaskRefused | TaskStopped):
        return message.reason.value
    if isinstance(message, TaskFinished):
        return Reason.TASK_FAILED.value
    if isinstance(message, MemberLost):
        return Reason.LEASE_EXPIRED.value
    if isinstance(message, DataCentreCordoned):
        return Reason.CORDONED.value
    if isinstance(message, ReclaimRequested):
        reclaimer = f"{message.organisation} for job {message.job_id}"
        return f"{Reason.RECLAIMED.value}: {reclaimer}"
    return Reason.GANG_INCOMPLETE.value


def _checkpoint(job: Job, index: int) -> str:
    checkpoints = job.record.checkpoints
    return checkpoints[index] if index < len(checkpoints) else ""
