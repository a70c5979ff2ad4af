"""Define the tasks of the worker stand-in and how they run, stop and expire."""

from __future__ import annotations

from dataclasses import dataclass, field

from wasabispur_core.error import WasabispurError

from .fault import FailTasks, FaultList, IgnoreStops
from .stand_in import handle
from .worker_message import (
    CheckpointCall,
    ReadStarts,
    ReadTask,
    ReadTasks,
    ReadUsage,
    RenewCall,
    StartTaskCall,
    StopCall,
    TaskCommand,
    ThrottleCall,
)

RUNNING = "running"
FINISHED = "finished"
FAILED = "failed"
STOPPED = "stopped"
EXPIRED = "expired"

TASK_LIMIT = 10_000
"""Maximum number of recorded tasks, including ended ones."""

USAGE_LAG = 2.0
"""Default age in seconds of the reported usage."""


class UnknownTaskError(WasabispurError):
    """Report a task id that the worker doesn't know."""


class TaskConflictError(WasabispurError):
    """Report a command that is not allowed in the state of the task."""


class NoCapacityError(WasabispurError):
    """Report a worker without enough free accelerators."""


@dataclass(slots=True, kw_only=True)
class Task:
    """Represent one task.

    Times are in seconds on the worker's clock and progress in seconds of the run time.
    Share is the speed of the task relative to full speed.
    """

    task_id: str
    accelerators: int
    command: TaskCommand
    started: float
    updated: float
    lease_end: float
    progress: float = 0.0
    share: float = 1.0
    state: str = RUNNING
    stopping_at: float | None = None
    checkpoint: str = ""
    result: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskView:
    """Represent one task as callers see it; times are in seconds."""

    task_id: str
    state: str
    accelerators: int
    progress: float
    share: float
    lease_remaining: float
    checkpoint: str
    result: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskListing:
    """Represent all tasks, and the worker's clock in seconds."""

    tasks: tuple[TaskView, ...]
    clock: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """Record one start of a task; at is in seconds on the worker's clock."""

    task_id: str
    accelerators: int
    at: float
    checkpoint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class UsageSample:
    """Record the accelerators in use and the running tasks at one time."""

    at: float
    accelerators: int
    tasks: int


@dataclass(slots=True)
class WorkerState:
    """Represent the tasks of a worker.

    Handlers first call advance(), so that due ends take effect before each message.
    """

    accelerators: int = 8
    usage_lag: float = USAGE_LAG
    tasks: dict[str, Task] = field(default_factory=dict)
    starts: list[Start] = field(default_factory=list)
    samples: list[UsageSample] = field(default_factory=list)
    fail_tasks: bool = False
    ignore_stops: bool = False

    def observe(self, faults: FaultList) -> None:
        """Apply the faults that act on tasks."""
        kinds = {type(fault) for fault in faults.faults}
        self.fail_tasks = FailTasks in kinds
        self.ignore_stops = IgnoreStops in kinds

    def accelerators_in_use(self) -> int:
        """Return the accelerators in use."""
        running = (task for task in self.tasks.values() if task.state == RUNNING)
        return sum(task.accelerators for task in running)

    def require_running(self, task_id: str) -> Task:
        """Return a running task; raise UnknownTaskError or TaskConflictError."""
        task = self.tasks.get(task_id)
        if task is None:
            raise UnknownTaskError(f"there is no task {task_id}", "start it first")
        if task.state != RUNNING:
            raise TaskConflictError(
                f"task {task_id} is {task.state}", "read it for its result"
            )
        return task

    def advance(self, now: float) -> None:
        """Apply ends of run times, stops and expired leases up to now."""
        for task in self.tasks.values():
            if task.state == RUNNING:
                self.advance_task(task, now)
        self.record_usage(now)

    def record_usage(self, now: float) -> None:
        """Record a sample and remove samples that are older than the lag requires."""
        sample = UsageSample(
            at=now,
            accelerators=self.accelerators_in_use(),
            tasks=sum(task.state == RUNNING for task in self.tasks.values()),
        )
        self.samples.append(sample)
        while len(self.samples) > 1 and self.samples[1].at <= now - self.usage_lag:
            del self.samples[0]

    def advance_task(self, task: Task, now: float) -> None:
        """Advance one running task to now.

        The earliest of the end of its run time, its stop and the expiry of its lease
        determines the final state.
        """
        rest = task.command.run_time - task.progress
        done = task.updated + rest / task.share if task.share else float("inf")
        stopped = float("inf") if task.stopping_at is None else task.stopping_at
        first = min(done, stopped, task.lease_end)
        until = min(first, now)
        task.progress += (until - task.updated) * task.share
        task.updated = now
        if first > now:
            return
        if first == done:
            failed = self.fail_tasks or not task.command.succeeds
            task.state = FAILED if failed else FINISHED
            task.result = "" if failed else task.command.result
            return
        task.state = STOPPED if first == stopped else EXPIRED


def task_view(task: Task, now: float) -> TaskView:
    """Return the view of a task for callers."""
    return TaskView(
        task_id=task.task_id,
        state=task.state,
        accelerators=task.accelerators,
        progress=task.progress,
        share=task.share,
        lease_remaining=max(task.lease_end - now, 0.0),
        checkpoint=task.checkpoint,
        result=task.result,
    )


def lease_end(message: StartTaskCall | RenewCall, now: float) -> float:
    """Return the end of a lease; raise TaskConflictError if the lease is over."""
    end = now + message.lease
    if message.lease_end is not None:
        end = min(end, message.lease_end)
    if end <= now:
        raise TaskConflictError(
            f"the lease of {message.task_id} ended {now - end:.3f} s ago",
            "ask the owner for a new lease",
        )
    return end


def checkpoint_progress(checkpoint: str) -> float:
    """Return the progress in seconds from the name of a checkpoint, or 0."""
    text = checkpoint.rpartition(":")[2]
    try:
        return max(float(text), 0.0)
    except ValueError:
        return 0.0


@handle.register
def _(message: StartTaskCall, state: WorkerState, now: float) -> TaskView:
    state.advance(now)
    existing = state.tasks.get(message.task_id)
    if existing is not None:
        return task_view(existing, now)
    if state.accelerators_in_use() + message.accelerators > state.accelerators:
        raise NoCapacityError(
            f"{state.accelerators - state.accelerators_in_use()} accelerators are free",
            "start the task elsewhere",
        )
    if len(state.tasks) >= TASK_LIMIT:
        raise NoCapacityError(f"{TASK_LIMIT} tasks are recorded", "restart the worker")
    task = Task(
        task_id=message.task_id,
        accelerators=message.accelerators,
        command=message.command,
        started=now,
        updated=now,
        lease_end=lease_end(message, now),
        progress=checkpoint_progress(message.checkpoint),
        checkpoint=message.checkpoint,
    )
    state.tasks[task.task_id] = task
    state.starts.append(
        Start(
            task_id=task.task_id,
            accelerators=task.accelerators,
            at=now,
            checkpoint=message.checkpoint,
        )
    )
    state.record_usage(now)
    return task_view(task, now)


@handle.register
def _(message: RenewCall, state: WorkerState, now: float) -> TaskView:
    state.advance(now)
    task = state.require_running(message.task_id)
    task.lease_end = max(task.lease_end, lease_end(message, now))
    return task_view(task, now)


@handle.register
def _(message: CheckpointCall, state: WorkerState, now: float) -> TaskView:
    state.advance(now)
    task = state.require_running(message.task_id)
    task.checkpoint = f"checkpoint:{task.task_id}:{task.progress:.3f}"
    return task_view(task, now)


@handle.register
def _(message: ThrottleCall, state: WorkerState, now: float) -> TaskView:
    state.advance(now)
    task = state.require_running(message.task_id)
    task.share = message.share
    return task_view(task, now)


@handle.register
def _(message: StopCall, state: WorkerState, now: float) -> TaskView:
    state.advance(now)
    existing = state.tasks.get(message.task_id)
    if existing is not None and existing.state != RUNNING:
        return task_view(existing, now)
    task = state.require_running(message.task_id)
    if not state.ignore_stops and task.stopping_at is None:
        task.stopping_at = now + task.command.stop_time
        state.advance_task(task, now)
    return task_view(task, now)


@handle.register
def _(message: ReadTask, state: WorkerState, now: float) -> TaskView:
    state.advance(now)
    task = state.tasks.get(message.task_id)
    if task is None:
        raise UnknownTaskError(f"there is no task {message.task_id}", "start it first")
    return task_view(task, now)


@handle.register
def _(message: ReadTasks, state: WorkerState, now: float) -> TaskListing:
    state.advance(now)
    views = tuple(task_view(task, now) for task in state.tasks.values())
    return TaskListing(tasks=views, clock=now)


@handle.register
def _(message: ReadStarts, state: WorkerState, now: float) -> list[Start]:
    return list(state.starts)


@handle.register
def _(message: ReadUsage, state: WorkerState, now: float) -> UsageSample | None:
    state.advance(now)
    oldest = state.samples[0]
    return oldest if oldest.at <= now - state.usage_lag else None
