"""Define what the owner records about a job: its state and that of its units."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class JobState(StrEnum):
    """Tell callers how far a job has got."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Return whether the job will never run again."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """Record where one task of a unit was ordered, and whether its run ended.

    started_at is on the store's clock in seconds; a later owner needs it to know how
    much work a stop would lose.
    """

    index: int = 0
    worker_id: str
    incarnation: str
    ended: bool = False
    started_at: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitRecord:
    """Record one unit: a whole gang, or a task on its own."""

    occurrence: int = 0
    step: int = 0
    index: int = 0
    state: str
    run: int = 0
    failures: int = 0
    checkpoint: str = ""
    members: tuple[MemberRecord, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class JobProgress:
    """Record a job; ended_at is on the store's clock in seconds."""

    state: JobState = JobState.PENDING
    ended_at: float = 0.0
    units: tuple[UnitRecord, ...] = ()
