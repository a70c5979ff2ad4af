"""Define the messages to the actor with the tasks of the worker stand-in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from wasabispur_core.message import Message


class TaskCommand(BaseModel):
    """Validate the command of a task, a JSON text that defines how the task behaves.

    Times are in seconds; stop_time is the time from a stop command to the end.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    run_time: Annotated[float, Field(ge=0)] = 1.0
    result: str = ""
    succeeds: bool = True
    stop_time: Annotated[float, Field(ge=0)] = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StartTaskCall(Message):
    """Request to start a task under a lease in seconds; an id starts only once.

    The lease ends at lease_end on the worker's clock at the latest.
    """

    task_id: str
    accelerators: int
    command: TaskCommand
    lease: float
    checkpoint: str
    lease_end: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RenewCall(Message):
    """Request to renew the lease of a task so that it ends lease seconds from now.

    The lease ends at lease_end on the worker's clock at the latest.
    """

    task_id: str
    lease: float
    lease_end: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckpointCall(Message):
    """Request to save a checkpoint of a task's progress."""

    task_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ThrottleCall(Message):
    """Request to run a task at a share of its full speed."""

    task_id: str
    share: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StopCall(Message):
    """Request to stop a task."""

    task_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadTask(Message):
    """Request the view of one task."""

    task_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadTasks(Message):
    """Request the views of all tasks."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadStarts(Message):
    """Request all recorded starts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadUsage(Message):
    """Request the usage as of the usage lag ago."""
