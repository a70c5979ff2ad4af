"""Define the stored row of a job and the keys of related rows.

The rows are in the table service. The jobs of a data centre form a shard, and only
the entry instance that owns the shard changes the row of an accepted job.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from .placement import Assignment, GangSize

JOB_SCHEMA = 1
"""Version of the job row's schema; rows with a newer version are left unchanged."""


class JobState(Enum):
    """Define the states of a job that callers see."""

    QUEUED = "queued"
    PLACED = "placed"
    STARTING = "starting"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REJECTED = "rejected"
    HELD = "held"

    @property
    def ended(self) -> bool:
        """Return whether the state is final."""
        return self in (
            JobState.COMPLETED,
            JobState.FAILED,
            JobState.CANCELLED,
            JobState.REJECTED,
        )

    @property
    def may_hold_accelerators(self) -> bool:
        """Return whether the job's members may hold accelerators."""
        return self in (JobState.PLACED, JobState.STARTING, JobState.RUNNING)


class Cause(Enum):
    """Define the causes of a job's current state that operators see."""

    NEW = "the shard's owner has not looked at the job yet"
    QUOTA = "the organisation's quota is in use"
    RECLAIMING = "borrowed work is being stopped in the guarantee"
    CORDONED = "the data centre is cordoned by the bundle in force"
    RESERVED = "free accelerators are reserved for gangs that wait longer"
    RECALLED = "free accelerators are called back by their organisation"
    FRAGMENTED = "enough accelerators are free, but not in aligned blocks"
    FULL = "too few accelerators are free"
    OWN_GUARANTEE = "placed in the organisation's own guarantee"
    SPARE = "placed on accelerators that are guaranteed to nobody"
    BORROWED = "placed on accelerators that are guaranteed to others"
    NO_ACCELERATORS = "placed on a worker with a free core"
    AWAITING_CONFIRMATION = "the first run may still be live; only its agent can tell"
    HELD = "the job failed on several workers"


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSpec:
    """Describe the job that a caller submitted.

    accelerators is the number for each task, and estimate the expected run time in
    seconds, or 0 if unknown.
    """

    organisation: str
    work_class: str
    command: str
    tasks: int = 1
    accelerators: int = 0
    at_most_once: bool = False
    estimate: float = 0.0

    @property
    def size(self) -> GangSize:
        """Return the size of the gang that the job needs."""
        return GangSize(tasks=self.tasks, accelerators=self.accelerators)


@dataclass(frozen=True, slots=True, kw_only=True)
class JobRecord:
    """Represent the row of one job.

    sequence orders the queue of the shard. start_possible means that a member may
    have received a start command in this gang epoch.
    """

    job_id: str
    shard: str
    spec: JobSpec
    state: JobState = JobState.QUEUED
    sequence: int = 0
    gang_epoch: int = 0
    assignments: tuple[Assignment, ...] = ()
    start_possible: bool = False
    reason: str = ""
    results: tuple[str, ...] = ()
    checkpoints: tuple[str, ...] = ()
    preemptions: int = 0
    failed_workers: tuple[str, ...] = ()
    cause: Cause = Cause.NEW
    schema: int = JOB_SCHEMA


def job_prefix(shard: str) -> str:
    """Return the prefix of all rows of a shard's jobs."""
    return f"job/{shard}/"


def job_key(shard: str, job_id: str) -> str:
    """Return the key of a job's row."""
    return f"{job_prefix(shard)}{job_id}"


def cancel_key(shard: str, job_id: str) -> str:
    """Return the key of the row that requests a job's cancellation.

    Any entry may write it. It is a separate row, so that only the shard's owner
    writes the job's row.
    """
    return f"{job_key(shard, job_id)}/cancel"


def ended_key(shard: str, job_id: str) -> str:
    """Return the key of an ended job's row."""
    return f"{ended_prefix(shard)}{job_id}"


def ended_prefix(shard: str) -> str:
    """Return the prefix of all rows of a shard's ended jobs."""
    return f"ended/{shard}/"


def guarantee_key(shard: str) -> str:
    """Return the key of the row that shows the shard's guarantees."""
    return f"guarantee/{shard}"


def new_job_id(shard: str, text: str) -> str:
    """Return a job id that names the shard and ends with the text."""
    return f"{shard}-{text}"


def shard_of(job_id: str) -> str:
    """Return the shard that a job id names."""
    return job_id.rpartition("-")[0]


def to_value(record: JobRecord) -> dict[str, Any]:
    """Return the content of a job's row."""
    value = asdict(record)
    value["state"] = record.state.value
    value["cause"] = record.cause.value
    return value
