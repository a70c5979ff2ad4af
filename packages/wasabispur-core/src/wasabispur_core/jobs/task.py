"""Decide which tasks an agent's worker runs, and until when.

The agent follows the commands of the entry instance (a front-end process) that owns the
task's shard, and stops a task whose lease expires without a renewal.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from functools import singledispatch

from ..action import Action, Guard
from ..chart import Chart, Lifecycle
from ..command import Command
from ..error import UnhandledMessageError
from ..message import Message
from ..protocol import (
    Reason,
    RenewTasks,
    ReserveTask,
    StartTask,
    StopTask,
    TASK_LEASE,
    TaskFinished,
    TaskInventory,
    TaskRefused,
    TaskStarted,
    TaskStatus,
    TaskStopped,
    Welcome,
)
from ..requests.permit import FromEntry, SendToEntryLink
from .job_cordon import cordon_log

TASK_TOMBSTONE_LIMIT = 10_000
"""Maximum number of ended tasks that an agent remembers."""

OwnerCommand = ReserveTask | StartTask | RenewTasks | StopTask


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseExpired(Message):
    """Report that the lease timer of a task fired; the lease may have been extended."""

    task_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CordonChanged(Message):
    """Report whether the bundle in force cordons the worker's data centre."""

    cordoned: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class TasksListed(Message):
    """Report the ids of the worker's running tasks, and how its other tasks ended."""

    running: tuple[str, ...]
    ended: tuple[TaskFinished | TaskStopped, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class RunAtWorker(Command):
    """Start a task at the worker; expiry is the lease's end on the agent's clock."""

    reserve: ReserveTask
    expiry: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RenewAtWorker(Command):
    """Extend a task's lease at the worker; expiry is its end on the agent's clock."""

    task_id: str
    expiry: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StopAtWorker(Command):
    """Stop a task at the worker, after a checkpoint if asked."""

    task_id: str
    checkpoint: bool


@dataclass(slots=True)
class Task:
    """Represent one task at the agent; expiry is on the agent's clock."""

    reserve: ReserveTask
    lifecycle: Lifecycle
    expiry: float
    stop_reason: Reason = Reason.LEASE_EXPIRED
    checkpoint: bool = False


class TaskAction(Action["TaskState", Task]):
    """Define the base class of the actions in the task state chart."""

    __slots__ = ()


class TaskGuard(Guard["TaskState", Task]):
    """Define the base class of the guards in the task state chart."""

    __slots__ = ()


@dataclass(slots=True)
class TaskState:
    """Represent the tasks of one worker at its agent.

    tombstones maps an ended task to the report of its end. epochs and owners give the
    latest epoch and owner of each shard. Until former_lease_end, on the agent's clock,
    the worker may still execute a start that an earlier agent process sent. While
    cordoned is set, no task is started.
    """

    data_centre: str
    accelerators: int
    chart: Chart
    former_lease_end: float
    leaving: bool = False
    cordoned: bool = False
    tasks: dict[str, Task] = field(default_factory=dict)
    tombstones: OrderedDict[str, Message] = field(default_factory=OrderedDict)
    epochs: dict[str, int] = field(default_factory=dict)
    owners: dict[str, str] = field(default_factory=dict)

    def holder(self, accelerator: int) -> Task | None:
        """Return the task that holds an accelerator."""
        for task in self.tasks.values():
            if accelerator in task.reserve.accelerator_ids:
                return task
        return None


@singledispatch
def decide(message: Message, state: TaskState, now: float) -> list[Command]:
    """Return the commands that a message to the task component causes."""
    raise UnhandledMessageError(
        f"the task component does not handle {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide.register
def _(message: FromEntry, state: TaskState, now: float) -> list[Command]:
    command = message.message
    # An entry instance sends a Welcome when it accepts the agent. By default, a
    # shard is named after its data centre.
    if isinstance(command, Welcome):
        inventory = task_inventory(state, state.data_centre)
        return [SendToEntryLink(entry_id=message.entry_id, message=inventory)]
    if not isinstance(command, OwnerCommand):
        return []
    # The epoch is checked first, so that a former owner's command has no effect.
    if is_stale(command, state):
        return refuse_stale(command, message.entry_id)
    state.epochs[command.shard] = command.shard_epoch
    state.owners[command.shard] = message.entry_id
    return decide_for_owner(command, state, now)


@decide.register(LeaseExpired)
@decide.register(TaskStarted)
@decide.register(TaskFinished)
@decide.register(TaskStopped)
def _(
    message: LeaseExpired | TaskStarted | TaskFinished | TaskStopped,
    state: TaskState,
    now: float,
) -> list[Command]:
    task = state.tasks.get(message.task_id)
    if task is None:
        return []
    return task.lifecycle.handle(message, state, task, now)


@decide.register
def _(message: CordonChanged, state: TaskState, now: float) -> list[Command]:
    if message.cordoned == state.cordoned:
        return []
    state.cordoned = message.cordoned
    return [cordon_log(state.data_centre, message.cordoned)]


@decide.register
def _(message: TasksListed, state: TaskState, now: float) -> list[Command]:
    # A task may have ended while no agent ran, or under an earlier agent process. Only
    # the worker then knows whether it finished.
    for end in message.ended:
        known = state.tombstones.get(end.task_id)
        if end.task_id not in state.tasks and (known is None or is_presumed(known)):
            record_end(state, end.task_id, end)
    # A worker may execute a start after the agent process that sent it has died.
    return [
        StopAtWorker(task_id=task_id, checkpoint=False)
        for task_id in message.running
        if task_id not in state.tasks
    ]


@singledispatch
def decide_for_owner(message: Message, state: TaskState, now: float) -> list[Command]:
    """Return the commands that a message from the shard's owner causes."""
    raise UnhandledMessageError(
        f"the task component does not handle {type(message).__name__} from an owner",
        "send it to the component that handles it",
    )


@decide_for_owner.register
def _(message: ReserveTask, state: TaskState, now: float) -> list[Command]:
    if message.task_id in state.tombstones:
        return report_end(message.task_id, message.shard, state, now)
    task = state.tasks.get(message.task_id)
    if task is None:
        task = Task(message, state.chart.start(), lease_expiry(message))
    return task.lifecycle.handle(message, state, task, now)


@decide_for_owner.register(StartTask)
@decide_for_owner.register(StopTask)
def _(
    message: StartTask | StopTask,
    state: TaskState,
    now: float,
) -> list[Command]:
    task = state.tasks.get(message.task_id)
    if task is None:
        return report_end(message.task_id, message.shard, state, now)
    return task.lifecycle.handle(message, state, task, now)


@decide_for_owner.register
def _(message: RenewTasks, state: TaskState, now: float) -> list[Command]:
    commands: list[Command] = []
    for task_id in message.task_ids:
        task = state.tasks.get(task_id)
        if task is None:
            commands += report_end(task_id, message.shard, state, now)
        else:
            commands += task.lifecycle.handle(message, state, task, now)
    inventory = task_inventory(state, message.shard)
    return [*commands, to_owner(state, message.shard, inventory)]


def task_inventory(state: TaskState, shard: str) -> TaskInventory:
    """Return the inventory of the shard's tasks at this agent."""
    tasks = [task for task in state.tasks.values() if task.reserve.shard == shard]
    return TaskInventory(
        shard=shard,
        shard_epoch=state.epochs.get(shard, 0),
        tasks=tuple(
            TaskStatus(
                task_id=task.reserve.task_id,
                gang_epoch=task.reserve.gang_epoch,
                started=task.lifecycle.state == "running",
            )
            for task in tasks
        ),
    )


def is_stale(command: OwnerCommand, state: TaskState) -> bool:
    """Return whether a newer owner of the shard has sent a command."""
    return command.shard_epoch < state.epochs.get(command.shard, 0)


def refuse_stale(command: OwnerCommand, entry_id: str) -> list[Command]:
    """Return the reply to a command of a former owner."""
    if not isinstance(command, ReserveTask):
        return []
    refused = TaskRefused(
        task_id=command.task_id,
        gang_epoch=command.gang_epoch,
        reason=Reason.STALE_EPOCH,
    )
    return [SendToEntryLink(entry_id=entry_id, message=refused)]


def lease_expiry(message: ReserveTask | StartTask | RenewTasks) -> float:
    """Return the end of the lease that a command grants, on the agent's clock."""
    # The anchor is the agent's clock in its last heartbeat.
    return message.anchor + min(message.lease, TASK_LEASE)


def former_lease_end(now: float) -> float:
    """Return the time at which all leases have ended that were granted before now.

    An agent that starts can't know which starts and renewals an earlier process sent.
    Their leases end at a time on the worker's clock, however late they take effect.
    """
    return now + TASK_LEASE


def is_presumed(end: Message) -> bool:
    """Return whether an end was only concluded from the lack of any record."""
    return isinstance(end, TaskStopped) and end.reason is Reason.NEVER_STARTED


def report_end(task_id: str, shard: str, state: TaskState, now: float) -> list[Command]:
    """Return the report of the end of a task that the agent does not have.

    A tombstone keeps the task from starting later. The owner repeats its command, so
    that an agent that can't prove the end yet sends nothing.
    """
    end = state.tombstones.get(task_id)
    if end is None:
        # A task id is the job id, the gang epoch, which increases with each placement
        # of the gang, and the task's index, joined by dots.
        epoch = int(task_id.rsplit(".", 2)[1])
        end = TaskStopped(
            task_id=task_id, gang_epoch=epoch, reason=Reason.NEVER_STARTED
        )
        record_end(state, task_id, end)
    if is_presumed(end) and now < state.former_lease_end:
        return []
    return [to_owner(state, shard, end)]


def record_end(state: TaskState, task_id: str, end: Message) -> None:
    """Record the end of a task and drop the oldest records beyond the limit."""
    state.tombstones[task_id] = end
    while len(state.tombstones) > TASK_TOMBSTONE_LIMIT:
        state.tombstones.popitem(last=False)


def to_owner(state: TaskState, shard: str, message: Message) -> Command:
    """Return the command that sends a message to the shard's latest owner."""
    return SendToEntryLink(entry_id=state.owners.get(shard, ""), message=message)


def stop_all(state: TaskState, now: float) -> list[Command]:
    """Return the commands that stop all tasks before a planned stop of the agent."""
    commands: list[Command] = []
    for task_id, task in list(state.tasks.items()):
        stop = StopTask(
            task_id=task_id,
            shard=task.reserve.shard,
            shard_epoch=task.reserve.shard_epoch,
            gang_epoch=task.reserve.gang_epoch,
            reason=Reason.LEAVING,
            checkpoint=True,
        )
        commands += task.lifecycle.handle(stop, state, task, now)
    return commands
