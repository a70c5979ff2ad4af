"""Define the messages to the scheduler of the shard's owner."""

from __future__ import annotations

from dataclasses import dataclass

from ...message import Message
from ..jobs.occurrence import PageId
from ..jobs.progress import JobProgress, UnitPage
from ..jobs.spec import JobSpec


@dataclass(frozen=True, slots=True, kw_only=True)
class JobArrived(Message):
    """Deliver an accepted job."""

    spec: JobSpec


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelArrived(Message):
    """Deliver the cancellation of a job, and the version of its row."""

    job_id: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CancellationRemoved(Message):
    """Report that the row of a cancellation was removed."""

    job_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ProgressArrived(Message):
    """Deliver the progress of a job as recorded by a former owner.

    progress is None if the record can't be read.
    """

    job_id: str
    progress: JobProgress | None


@dataclass(frozen=True, slots=True, kw_only=True)
class UnitPageArrived(Message):
    """Deliver a page of a job's units as recorded by a former owner.

    page is None if the record can't be read.
    """

    job_id: str
    page_id: PageId
    page: UnitPage | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportRemoved(Message):
    """Report that an agent has removed its report on a worker."""

    worker_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class TableReady(Message):
    """Report that all rows of a table have been delivered, and how many there were."""

    table: str
    rows: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetTick(Message):
    """Trigger the periodic work of the owner."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClocksRead(Message):
    """Deliver the store's time and the wall time of the same moment, in seconds."""

    store_time: float
    wall_time: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanningPassDue(Message):
    """Trigger a planning pass over the waiting units."""
