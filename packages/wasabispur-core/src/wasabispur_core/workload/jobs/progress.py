"""Define the stored progress of a job and its units.

The entry instance that owns the shard writes it, and the next owner continues from it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .crash_history import CrashHistory, NO_CRASHES
from .spec import QueueTerms


class JobState(StrEnum):
    """Define the state of a job that callers see."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Return whether the state is final."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRecord:
    """Describe the worker of one task of a unit, and whether its run has ended.

    started_at is in seconds on the store's clock. A later owner needs it to compute
    how much work would be lost if it stopped the run. broken is set if the run ended
    because another member of its gang had ended.
    """

    index: int = 0
    worker_id: str
    incarnation: str
    ended: bool = False
    started_at: float = 0.0
    broken: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class UnknownEnd:
    """Describe a run of one task that ended, without it being known how.

    Its worker may still list the end. ran is the time that the run took in seconds, as
    far as it is known.
    """

    run: int
    index: int = 0
    worker_id: str
    incarnation: str
    ran: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitRecord:
    """Describe the stored state of one unit: a whole gang or a single task.

    run_failed is set once a member of the current run has failed, crashes contains
    the workers that crashed under the unit's tasks, unknown_ends the runs that may
    have failed, and preemptions how often the unit was told to stop.
    """

    occurrence: int = 0
    step: int = 0
    index: int = 0
    state: str
    run: int = 0
    failures: int = 0
    run_failed: bool = False
    checkpoint: str = ""
    members: tuple[MemberRecord, ...] = ()
    crashes: CrashHistory = NO_CRASHES
    unknown_ends: tuple[UnknownEnd, ...] = ()
    preemptions: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitPage:
    """Describe the stored state of some units of one step of an occurrence.

    Bit n of completed is set if the unit at the page's position n is completed. A unit
    that is neither completed nor in units has not been created.
    """

    completed: int = 0
    units: tuple[UnitRecord, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class JobProgress:
    """Describe the stored state of a job.

    ended_at is in seconds on the store's clock, and zero while the job has not ended.
    occurrences counts those that have begun, and open_occurrences contains the ones
    that are not completed. terms are those of the job's queue, if its own row has none.
    units is only set in rows of versions without pages.
    """

    state: JobState = JobState.PENDING
    ended_at: float = 0.0
    occurrences: int = 0
    open_occurrences: tuple[int, ...] = ()
    terms: QueueTerms | None = None
    units: tuple[UnitRecord, ...] = ()
