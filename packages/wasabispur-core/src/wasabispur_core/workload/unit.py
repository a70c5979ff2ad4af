"""Hold the units of work: a gang as a whole, or a task on its own."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ..chart import Lifecycle
from ..message import Message
from .progress import MemberRecord, UnitRecord
from .run_progress import RunProgress
from .spec import Resources, StepSpec, TaskId
from .worker import EndKind

BLOCKED = "blocked"
WAITING = "waiting"
ACTIVE = "active"
STOPPING = "stopping"
CANCELLING = "cancelling"
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"
ENDED_STATES = frozenset((COMPLETED, FAILED, CANCELLED))


class UnitId(NamedTuple):
    """Identify a unit; a gang has the position of its first task."""

    job_id: str
    occurrence: int
    step: int
    position: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkerRef:
    """Name the worker on which one task is placed."""

    worker_id: str
    incarnation: str


@dataclass(slots=True, kw_only=True)
class UnitMember:
    """Hold one task of a unit while it is ordered somewhere."""

    index: int
    worker_ref: WorkerRef
    ended: bool = False
    started_at: float = 0.0
    progress: RunProgress = field(default_factory=RunProgress)


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitReady(Message):
    """Report that nothing holds the unit back but room."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitPlaced(Message):
    """Deliver the workers chosen for the unit's tasks."""

    placement: tuple[WorkerRef, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitPreempted(Message):
    """Ask for the unit's room."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitCancelled(Message):
    """Ask for the unit's end, because its job is cancelled or has failed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEnded(Message):
    """Report that the run of one member ended."""

    index: int
    kind: EndKind
    checkpoint: str = ""


@dataclass(slots=True, kw_only=True)
class Unit:
    """Hold a unit; ready_at and backoff_until are in monotonic seconds of the owner.

    start_checkpoint is the one with which the current run began.
    """

    unit_id: UnitId
    step: StepSpec
    lifecycle: Lifecycle
    run: int = 0
    failures: int = 0
    checkpoint: str = ""
    start_checkpoint: str = ""
    members: list[UnitMember] = field(default_factory=list)
    ready_at: float = 0.0
    run_failed: bool = False
    avoided_workers: set[str] = field(default_factory=set)
    failed_on: set[str] = field(default_factory=set)
    preemptions: int = 0
    backoff_until: float = 0.0

    @property
    def state(self) -> str:
        """Return the state in the unit chart."""
        return self.lifecycle.state

    @property
    def size(self) -> int:
        """Return the number of tasks."""
        return self.step.count if self.step.gang else 1

    @property
    def demand(self) -> Resources:
        """Return what one task needs; a filling task counts no cpu."""
        if not self.step.filling:
            return self.step.demand
        demand = self.step.demand
        return Resources(memory=demand.memory, accelerators=demand.accelerators)

    @property
    def may_be_running(self) -> bool:
        """Return whether some run of the unit may be at work."""
        return any(not member.ended for member in self.members)

    def task_id(self, index: int) -> TaskId:
        """Return the id of one of the unit's tasks."""
        return TaskId(
            self.unit_id.job_id, self.unit_id.occurrence, self.unit_id.step, index
        )

    def record(self, store_offset: float) -> UnitRecord:
        """Return what is written about the unit; the offset is the store's clock's."""
        members = tuple(
            MemberRecord(
                index=member.index,
                worker_id=member.worker_ref.worker_id,
                incarnation=member.worker_ref.incarnation,
                ended=member.ended,
                started_at=round(member.started_at + store_offset, 2),
            )
            for member in self.members
        )
        return UnitRecord(
            occurrence=self.unit_id.occurrence,
            step=self.unit_id.step,
            index=self.unit_id.position,
            state=self.state,
            run=self.run,
            failures=self.failures,
            checkpoint=self.checkpoint,
            members=members,
        )
