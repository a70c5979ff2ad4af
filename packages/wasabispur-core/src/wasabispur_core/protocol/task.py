"""Define the messages about jobs and the tasks of a shard.

One entry, the shard's owner, schedules the jobs of a shard. Agents reject commands with
an older shard_epoch, the fencing token of the owner.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..message import Message
from .reason import Reason

TASK_LEASE = 15.0
"""Length of a task's lease in seconds; an agent grants no longer one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSubmitted(Message):
    """Notify the shard's owner that a job row was written."""

    shard: str
    job_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class JobCancelled(Message):
    """Notify the shard's owner that a job row was marked as cancelled."""

    shard: str
    job_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReserveTask(Message):
    """Reserve accelerators for a task until lease seconds after the anchor.

    anchor is the clock in the agent's last heartbeat, so that a late message does
    not extend the lease.
    """

    task_id: str
    job_id: str
    shard: str
    shard_epoch: int
    gang_epoch: int
    accelerators: int
    command: str
    lease: float
    anchor: float
    accelerator_ids: tuple[int, ...] = ()
    checkpoint: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class StartTask(Message):
    """Start a task whose accelerators are reserved."""

    task_id: str
    shard: str
    shard_epoch: int
    gang_epoch: int
    lease: float
    anchor: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RenewTasks(Message):
    """Extend the leases of tasks to lease seconds after the anchor.

    The agent answers with its TaskInventory, and with TaskFinished or TaskStopped
    for each listed task that it no longer has.
    """

    shard: str
    shard_epoch: int
    task_ids: tuple[str, ...]
    lease: float
    anchor: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StopTask(Message):
    """Stop a task or release its accelerators, after a checkpoint if requested."""

    task_id: str
    shard: str
    shard_epoch: int
    gang_epoch: int
    reason: Reason
    checkpoint: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskReserved(Message):
    """Confirm that accelerators are reserved for the task."""

    task_id: str
    gang_epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskRefused(Message):
    """Refuse to reserve accelerators for the task."""

    task_id: str
    gang_epoch: int
    reason: Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskStarted(Message):
    """Report that the worker runs the task."""

    task_id: str
    gang_epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskFinished(Message):
    """Report that a task exited by itself, with success or failure."""

    task_id: str
    gang_epoch: int
    succeeded: bool
    result: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskStopped(Message):
    """Confirm that the task no longer runs."""

    task_id: str
    gang_epoch: int
    reason: Reason
    checkpoint: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskStatus:
    """Describe one reserved or started task of an agent."""

    task_id: str
    gang_epoch: int
    started: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskInventory(Message):
    """List all reserved and started tasks of the agent for the owner of a shard."""

    shard: str
    shard_epoch: int
    tasks: tuple[TaskStatus, ...]
