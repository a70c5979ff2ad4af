"""Define the owner's state of one job."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ...storage.store import text_size
from ..run_times.run_time import JobForecast
from .occurrence import Occurrence, PageId
from .progress import JobProgress, JobState, UnitPage
from .spec import JobSpec, QueueTerms
from .step_graph import StepGraph
from .unit import Unit, UnitId


@dataclass(slots=True, kw_only=True)
class LoggedWait:
    """Represent what was logged of the waits of one step of an occurrence.

    repeat_at is the monotonic time in seconds from which the wait is logged again.
    """

    reason: str = ""
    repeat_at: float = 0.0
    lines: int = 0


@dataclass(slots=True, kw_only=True)
class WaitLines:
    """Count the lines of one second about waits that were logged before."""

    second: int = 0
    count: int = 0


@dataclass(slots=True, kw_only=True)
class JobRows:
    """Represent the rows of a job's progress.

    pages contains the stored pages, dirty_pages those that have to be written, and
    progress the job's own row as last written.
    """

    pages: set[PageId] = field(default_factory=set)
    dirty_pages: set[PageId] = field(default_factory=set)
    progress: dict[str, Any] | None = None


@dataclass(slots=True, kw_only=True)
class JobTerms:
    """Represent what the job's queue grants to it.

    accepted are the terms when the job was accepted, or was first known, and current
    those under a version of the configuration.
    """

    accepted: QueueTerms | None = None
    current: QueueTerms | None = None
    version: int = -1


@dataclass(slots=True, kw_only=True)
class CreationBudget:
    """Count the units that were created with the message of a number."""

    message_number: int = 0
    used: int = 0

    def renew(self, message_number: int) -> None:
        """Begin a new count if this is another message."""
        if self.message_number != message_number:
            self.message_number, self.used = message_number, 0


@dataclass(slots=True, kw_only=True)
class Job:
    """Represent one job.

    arrived_at is in monotonic seconds of the owner, and ended_at in seconds on the
    store's clock. units contains those that are not completed. occurrences counts the
    occurrences that have begun, open_occurrences contains those that are not completed,
    and unfilled the steps, by occurrence, of which not all units have been created.
    begun is set once a unit has been placed, and failed once one has failed.
    failed_on contains the workers on which runs of the job failed, and waits what was
    logged of the waits of an occurrence's step. held is set if the job's stored
    progress can't be read, so that it is unknown what has run or still runs. creation
    limits the units that are created with one message. forecast contains the expected
    run times, once they are needed. graph contains the dependencies of the steps, and
    payload_bytes is the size in bytes that the payload takes in a row.
    """

    spec: JobSpec
    arrived_at: float
    state: JobState = JobState.PENDING
    ended_at: float = 0.0
    units: dict[UnitId, Unit] = field(default_factory=dict)
    occurrences: int = 0
    open_occurrences: dict[int, Occurrence] = field(default_factory=dict)
    unfilled: deque[tuple[int, int]] = field(default_factory=deque)
    begun: bool = False
    failed: bool = False
    cancelled: bool = False
    held: bool = False
    failed_on: set[str] = field(default_factory=set)
    waits: dict[tuple[int, int], LoggedWait] = field(default_factory=dict)
    rows: JobRows = field(default_factory=JobRows)
    terms: JobTerms = field(init=False)
    creation: CreationBudget = field(default_factory=CreationBudget)
    forecast: JobForecast | None = None
    graph: StepGraph = field(init=False)
    payload_bytes: int = field(init=False)

    def __post_init__(self) -> None:
        self.terms = JobTerms(accepted=self.spec.terms)
        self.graph = StepGraph(self.spec.steps)
        self.payload_bytes = text_size(self.spec.payload)


@dataclass(slots=True, kw_only=True)
class StoredProgress:
    """Represent a job's progress as a former owner stored it.

    progress or a page is None if its row can't be read.
    """

    progress: JobProgress | None = field(default_factory=JobProgress)
    pages: dict[PageId, UnitPage | None] = field(default_factory=dict)


class RemovedJob(NamedTuple):
    """Describe a job whose rows were removed; times are on the store's clock."""

    accepted_at: float
    removed_at: float
