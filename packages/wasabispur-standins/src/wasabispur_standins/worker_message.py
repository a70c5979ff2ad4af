"""Define the calls that the worker stand-in takes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from wasabispur_core.message import Message


class TaskCommand(BaseModel):
    """Validate a task's command, the JSON text that says how it behaves.

    Times are in seconds; stop_time passes between a stop and the end.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    run_time: Annotated[float, Field(ge=0)] = 1.0
    result: str = ""
    succeeds: bool = True
    stop_time: Annotated[float, Field(ge=0)] = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StartTaskCall(Message):
    """Start a task under a lease in seconds; the same id starts only once."""

    task_id: str
    accelerators: int
    command: TaskCommand
    lease: float
    checkpoint: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RenewCall(Message):
    """Let a task's lease end lease seconds from now."""

    task_id: str
    lease: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckpointCall(Message):
    """Save a task's progress."""

    task_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ThrottleCall(Message):
    """Let a task run at a share of its speed."""

    task_id: str
    share: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StopCall(Message):
    """Stop a task."""

    task_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadTask(Message):
    """Ask for one task."""

    task_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadTasks(Message):
    """Ask for all tasks."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadStarts(Message):
    """Ask for the record of starts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadUsage(Message):
    """Ask for the usage as it was some time ago."""
