"""Define the messages to the worker runner of an agent, and the worker's clock."""

from __future__ import annotations

from dataclasses import dataclass

from wasabispur_core.jobs.task import RunAtWorker
from wasabispur_core.message import Message
from wasabispur_core.sharding.ownership import CLOCK_DRIFT

from .worker_client import Answer, TaskView


@dataclass(frozen=True, slots=True, kw_only=True)
class PollDue(Message):
    """Request the next read of the worker's tasks."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClockReading:
    """Describe the worker's clock at a time, both in seconds.

    read_at is on the agent's clock, and not before the worker read its own.
    """

    time: float
    read_at: float

    def lease_end(self, expiry: float) -> float:
        """Return a time on the worker's clock that isn't after the agent's expiry.

        A call that the worker executes late prolongs nothing, as the end of its lease
        is a time and not a duration. The worker's clock may be slow.
        """
        return self.time + (expiry - self.read_at) * (1 - CLOCK_DRIFT)


@dataclass(frozen=True, slots=True, kw_only=True)
class TasksRead(Message):
    """Deliver the worker's tasks, or None in read if the worker did not answer.

    polled are the ids of the tasks that had been started before the read was sent.
    """

    polled: frozenset[str]
    read: WorkerRead | None


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerRead:
    """Represent the worker's tasks by id, and its clock with them."""

    views: dict[str, TaskView]
    clock: ClockReading


@dataclass(frozen=True, slots=True, kw_only=True)
class StartAnswered(Message):
    """Deliver the worker's answer to a start."""

    command: RunAtWorker
    answer: Answer


@dataclass(frozen=True, slots=True, kw_only=True)
class StopAnswered(Message):
    """Deliver the worker's answer to a stop."""

    task_id: str
    answer: Answer


@dataclass(frozen=True, slots=True, kw_only=True)
class RepeatDue(Message):
    """Request that a start is repeated."""

    command: RunAtWorker
