"""Define the actions and guards of the task state chart.

An agent runs the chart for each task of its worker.
"""

from __future__ import annotations

from dataclasses import replace

from ..action import holds, perform
from ..chart import Chart, ChartCatalogue
from ..command import CancelTimer, Command, SetTimer
from ..protocol import (
    Reason,
    RenewTasks,
    ReserveTask,
    StartTask,
    StopTask,
    TaskFinished,
    TaskRefused,
    TaskReserved,
    TaskStarted,
    TaskStopped,
)
from .task import (
    lease_expiry,
    LeaseExpired,
    record_end,
    RenewAtWorker,
    RunAtWorker,
    StopAtWorker,
    TaskAction,
    TaskGuard,
    TaskState,
    to_owner,
)


class HoldAccelerators(TaskAction):
    """Allocate the accelerators to the task and arm the lease timer."""

    __slots__ = ()


class SendReserved(TaskAction):
    """Confirm the reservation to the owner."""

    __slots__ = ()


class RefuseTask(TaskAction):
    """Refuse the reservation."""

    __slots__ = ()


class ExtendLease(TaskAction):
    """Extend the expiry and arm the lease timer again."""

    __slots__ = ()


class RunTask(TaskAction):
    """Start the task at the worker."""

    __slots__ = ()


class ForwardLease(TaskAction):
    """Extend the lease at the worker."""

    __slots__ = ()


class SendStarted(TaskAction):
    """Report to the owner that the worker runs the task."""

    __slots__ = ()


class RecordStopReason(TaskAction):
    """Record the reason for the stop and whether to save a checkpoint."""

    __slots__ = ()


class SendStop(TaskAction):
    """Send the stop command to the worker."""

    __slots__ = ()


class RecordStopped(TaskAction):
    """Record the end of a task that was never started at the worker."""

    __slots__ = ()


class RecordCordoned(TaskAction):
    """Record that a reserved task is not started because of a cordon."""

    __slots__ = ()


class RecordWorkerEnd(TaskAction):
    """Record the end of a task as the worker reported it."""

    __slots__ = ()


class CapacityFree(TaskGuard):
    """Check whether the agent takes new tasks and the accelerators are free."""

    __slots__ = ()


class Cordoned(TaskGuard):
    """Check whether the bundle in force cordons the worker's data centre."""

    __slots__ = ()


class LeaseValid(TaskGuard):
    """Check whether the lease has not expired on the agent's clock."""

    __slots__ = ()


def task_chart(catalogue: ChartCatalogue) -> Chart:
    """Return the task state chart bound to its actions and guards."""
    return catalogue.bind(
        "task",
        actions=TaskAction.__subclasses__(),
        guards=TaskGuard.__subclasses__(),
    )


@holds.register
def _(guard: CapacityFree) -> bool:
    state, reserve = guard.state, guard.subject.reserve
    if state.leaving or state.cordoned or guard.now >= guard.subject.expiry:
        return False
    indices = reserve.accelerator_ids
    known = all(index < state.accelerators for index in indices)
    return known and not any(state.holder(index) for index in indices)


@holds.register
def _(guard: Cordoned) -> bool:
    return guard.state.cordoned


@holds.register
def _(guard: LeaseValid) -> bool:
    return guard.now < guard.subject.expiry


@perform.register
def _(action: HoldAccelerators) -> list[Command]:
    task = action.subject
    action.state.tasks[task.reserve.task_id] = task
    return [_lease_timer(action)]


@perform.register
def _(action: SendReserved) -> list[Command]:
    reserve = action.subject.reserve
    reserved = TaskReserved(task_id=reserve.task_id, gang_epoch=reserve.gang_epoch)
    return [to_owner(action.state, reserve.shard, reserved)]


@perform.register
def _(action: RefuseTask) -> list[Command]:
    reserve = action.subject.reserve
    refused = TaskRefused(
        task_id=reserve.task_id,
        gang_epoch=reserve.gang_epoch,
        reason=_refusal_reason(action.state),
    )
    # The tombstone keeps a duplicate of the refused command from reserving later.
    stopped = TaskStopped(
        task_id=reserve.task_id,
        gang_epoch=reserve.gang_epoch,
        reason=refused.reason,
    )
    record_end(action.state, reserve.task_id, stopped)
    return [to_owner(action.state, reserve.shard, refused)]


@perform.register
def _(action: ExtendLease) -> list[Command]:
    task, message = action.subject, action.message
    if isinstance(message, StartTask | RenewTasks):
        task.expiry = max(task.expiry, lease_expiry(message))
    return [_lease_timer(action)]


@perform.register
def _(action: RunTask) -> list[Command]:
    task = action.subject
    return [RunAtWorker(reserve=task.reserve, expiry=task.expiry)]


@perform.register
def _(action: ForwardLease) -> list[Command]:
    task = action.subject
    return [RenewAtWorker(task_id=task.reserve.task_id, expiry=task.expiry)]


@perform.register
def _(action: SendStarted) -> list[Command]:
    reserve = action.subject.reserve
    started = TaskStarted(task_id=reserve.task_id, gang_epoch=reserve.gang_epoch)
    return [to_owner(action.state, reserve.shard, started)]


@perform.register
def _(action: RecordStopReason) -> list[Command]:
    if isinstance(action.message, StopTask):
        action.subject.stop_reason = action.message.reason
        action.subject.checkpoint = action.message.checkpoint
    return []


@perform.register
def _(action: SendStop) -> list[Command]:
    task = action.subject
    stop = StopAtWorker(task_id=task.reserve.task_id, checkpoint=task.checkpoint)
    return [stop]


@perform.register
def _(action: RecordStopped) -> list[Command]:
    reserve = action.subject.reserve
    message = action.message
    reason = message.reason if isinstance(message, StopTask) else Reason.LEASE_EXPIRED
    stopped = TaskStopped(
        task_id=reserve.task_id, gang_epoch=reserve.gang_epoch, reason=reason
    )
    return _end(action, stopped)


@perform.register
def _(action: RecordWorkerEnd) -> list[Command]:
    task, message = action.subject, action.message
    if isinstance(message, TaskFinished):
        return _end(action, replace(message, gang_epoch=task.reserve.gang_epoch))
    if not isinstance(message, TaskStopped):
        return []
    in_stop = task.lifecycle.state == "stopping"
    reason = task.stop_reason if in_stop else message.reason
    end = replace(message, gang_epoch=task.reserve.gang_epoch, reason=reason)
    return _end(action, end)


@perform.register
def _(action: RecordCordoned) -> list[Command]:
    reserve = action.subject.reserve
    stopped = TaskStopped(
        task_id=reserve.task_id, gang_epoch=reserve.gang_epoch, reason=Reason.CORDONED
    )
    return _end(action, stopped)


def _refusal_reason(state: TaskState) -> Reason:
    if state.leaving:
        return Reason.LEAVING
    return Reason.CORDONED if state.cordoned else Reason.NO_CAPACITY


def _end(action: TaskAction, end: TaskFinished | TaskStopped) -> list[Command]:
    reserve = action.subject.reserve
    action.state.tasks.pop(reserve.task_id, None)
    record_end(action.state, reserve.task_id, end)
    report = to_owner(action.state, reserve.shard, end)
    return [CancelTimer(timer_id=_timer_id(reserve)), report]


def _lease_timer(action: TaskAction) -> SetTimer:
    task = action.subject
    return SetTimer(
        timer_id=_timer_id(task.reserve),
        delay=task.expiry - action.now,
        message=LeaseExpired(task_id=task.reserve.task_id),
    )


def _timer_id(reserve: ReserveTask) -> str:
    return f"lease:{reserve.task_id}"
