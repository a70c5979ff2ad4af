"""Define what is stored of a job."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from .placement import Assignment, GangSize

JOB_SCHEMA = 1
"""Version of the job row; a newer one is left alone."""


class JobState(Enum):
    """Tell where a job stands, as callers see it."""

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
        """Return whether the job has ended for good."""
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
    """List why a job is where it is."""

    NEW = "the shard's owner has not looked at the job yet"
    QUOTA = "the organisation's quota is in use"
    RECLAIMING = "borrowed work is being stopped in the guarantee"
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
    """Hold what the caller asked for; the estimate is in seconds, 0 if unknown."""

    organisation: str
    work_class: str
    command: str
    tasks: int = 1
    accelerators: int = 0
    at_most_once: bool = False
    estimate: float = 0.0

    @property
    def size(self) -> GangSize:
        """Return the gang that the job needs."""
        return GangSize(tasks=self.tasks, accelerators=self.accelerators)


@dataclass(frozen=True, slots=True, kw_only=True)
class JobRecord:
    """Hold the row of one job; the sequence orders the queue of its shard.

    start_possible says that a member may have been told to start in this epoch.
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
    """Return the key of the row by which any entry asks for a cancellation.

    It is a row of its own, so that only the shard's owner writes the job's row.
    """
    return f"{job_key(shard, job_id)}/cancel"


def ended_key(shard: str, job_id: str) -> str:
    """Return the key under which an ended job's row is kept."""
    return f"{ended_prefix(shard)}{job_id}"


def ended_prefix(shard: str) -> str:
    """Return the prefix of a shard's ended jobs."""
    return f"ended/{shard}/"


def guarantee_key(shard: str) -> str:
    """Return the key of the row that shows the shard's guarantees."""
    return f"guarantee/{shard}"


def new_job_id(shard: str, text: str) -> str:
    """Return the id of a job of the shard."""
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
