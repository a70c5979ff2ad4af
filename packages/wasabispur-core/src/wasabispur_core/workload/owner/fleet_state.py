"""Define the owner's state of jobs and workers, and the messages that change it.

The owner is the entry instance that owns the shard; it alone decides where tasks run.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from math import inf
from typing import Any, NamedTuple

from ...chart import Chart
from ...message import Message
from ..admission.published_load import PublishedLoad
from ..jobs.occurrence import Occurrence, PageId
from ..jobs.progress import JobProgress, JobState, UnitPage
from ..jobs.spec import JobSpec, NO_RESOURCES, QueueTerms, Resources
from ..jobs.step_graph import StepGraph
from ..jobs.stop_times import DEFAULT_STOP_TIMES, StopTimes
from ..jobs.unit import Unit, UnitId
from ..jobs.unit_stop import EvictionAccount
from ..planning.fleet_view import FleetView
from ..planning.plan import DEFAULT_REMOTE_FACTOR
from ..planning.planner import Planner
from ..policies.cordon import OwnerCordons
from ..policies.policy import FleetPolicy, Queue
from ..run_times.run_time import JobForecast, RunTimeModel
from ..workers.worker import EndKind, ListedRun, WorkerInfo, WorkerOrders, WorkerReport
from ..workers.worker_health import WorkerHealth
from .planning_lease import PlanningLease
from .takeover import Takeover


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
class Job:
    """Represent one job.

    arrived_at is in monotonic seconds of the owner, and ended_at in seconds on the
    store's clock. units contains those that are not completed. occurrences counts the
    occurrences that have begun, open_occurrences contains those that are not completed,
    and unfilled the steps, by occurrence, of which not all units have been created.
    begun is set once a unit has been placed, and failed once one has failed.
    failed_on contains the workers on which runs of the job failed, and waits what was
    logged of the waits of an occurrence's step. held is set if the job's stored
    progress can't be read, so that nothing tells what has run or still runs. pages
    contains the stored pages, dirty_pages those that have to be written, and
    stored_progress the job's own row as last written. accepted_terms are those of the
    job's queue when it was accepted, or was first known, and terms those under
    terms_version of the configuration. new_units counts the units that were created
    with the message of the number last_message. forecast contains the expected run
    times, once they are needed. graph contains the dependencies of the steps, and
    payload_bytes is the size of the payload in a row.
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
    pages: set[PageId] = field(default_factory=set)
    dirty_pages: set[PageId] = field(default_factory=set)
    stored_progress: dict[str, Any] | None = None
    accepted_terms: QueueTerms | None = None
    terms: QueueTerms | None = None
    terms_version: int = -1
    new_units: int = 0
    last_message: int = 0
    forecast: JobForecast | None = None
    graph: StepGraph = field(init=False)
    payload_bytes: int = field(init=False)

    def __post_init__(self) -> None:
        self.accepted_terms = self.spec.terms
        self.graph = StepGraph(self.spec.steps)
        self.payload_bytes = self.spec.payload_size


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


@dataclass(slots=True, kw_only=True)
class Worker:
    """Represent one worker as last reported; times are in monotonic seconds.

    report_version is the version of the row with its last report, and session the
    agent's session in it. confirmed is set once a report has arrived since this entry
    became the owner. unknown_runs are listed runs that the owner did not order,
    written_orders the orders row as last written, and acknowledged the number of the
    last ended run that has been applied. failed_units contains the units whose runs
    failed there since the last success. The worker gets no units before
    suspected_until; health contains what health checks and runs tell of it. leaving is
    set once it has announced that it leaves. ignored_incarnation is the former
    incarnation on which a report was ignored last. unlisted_since contains, by task and
    number, the runs there with an unknown end, and the time since which the worker's
    lists lack them. begun_runs contains the runs, also of former incarnations, which
    the last report lists as crashed and begun. cordoned is set if the agent shows a
    cordon. Until cold_until the worker is slow after its start. last_start_at is the
    time of the last order of a run.
    """

    agent_id: str
    info: WorkerInfo
    report_version: int = 0
    session: str = ""
    seen_at: float = 0.0
    confirmed: bool = False
    listing: int = 0
    runs: tuple[ListedRun, ...] = ()
    unknown_runs: tuple[ListedRun, ...] = ()
    acknowledged: int = 0
    written_orders: WorkerOrders | None = None
    failed_units: set[UnitId] = field(default_factory=set)
    suspected_until: float = 0.0
    health: WorkerHealth = field(default_factory=WorkerHealth)
    leaving: bool = False
    ignored_incarnation: str = ""
    cordoned: bool = False
    cold_until: float = -inf
    begun_runs: frozenset[tuple[str, int]] = frozenset()
    last_start_at: float = -inf
    unlisted_since: dict[tuple[str, int], float] = field(default_factory=dict)

    @property
    def worker_id(self) -> str:
        """Return the id of the worker."""
        return self.info.worker_id

    @property
    def identity(self) -> tuple[str, str]:
        """Return the worker's id and the incarnation that was reported last."""
        return self.info.worker_id, self.info.incarnation

    @property
    def end_of_process(self) -> EndKind:
        """Return how runs end if the worker's process ends now."""
        return EndKind.LOST if self.leaving else EndKind.CRASHED

    @property
    def location(self) -> tuple[str, str]:
        """Return the agent and the address, at which one worker runs at a time."""
        return self.agent_id, self.info.address


@dataclass(slots=True, kw_only=True)
class FleetState:
    """Represent all jobs and workers while this entry is the owner.

    loading contains the tables that have yet to be read, and the configuration if this
    process has read none so far. dirty_jobs and dirty_workers contain the ids whose
    rows have to be written. pending_cancellations contains the jobs whose cancellation
    was read before the job. unreported_since contains the workers with recorded runs
    but without a report, with the time in monotonic seconds. progress contains the
    progress as a former owner stored it, until the job is restored, and obsolete_rows the
    keys of rows to remove. store_offset is the store's clock minus this process's
    clock, and wall_offset the wall clock minus this process's clock, both in seconds.
    capacity_changed is set if another planning pass may lead to other decisions than
    the last one. horizon is the lease horizon in seconds, and remote_factor how many
    times as long a task takes away from the rack that it prefers. view is what the
    planner knew
    in its last pass, with the changes since, and planner keeps what the pass found.
    reports_since is the time since which reports have arrived without a gap, and
    ticked_at the time of the last tick, both in monotonic seconds. removed_jobs
    contains the jobs whose rows may still be delivered although they were removed.
    message_number counts the messages that were handled, and wait_lines the lines about
    long waits. takeover is the takeover in which this entry became the owner, or None.
    units_listed_at is the time at which the open units were last counted. cordons
    is what is known of the operators' cordons. disregarded_services contains the
    services whose workers' health checks are not reliable, and health_counted_at is the
    time of the last count of their answers. run_times contains what was learned of the
    run times of tasks. stop_times is how long stops take, and evictions contains the
    stops for each beneficiary that has yet to be placed. published_load is the load as
    entries know it.
    """

    unit_chart: Chart
    cordons: OwnerCordons
    horizon: float
    remote_factor: float = DEFAULT_REMOTE_FACTOR
    stop_times: StopTimes = DEFAULT_STOP_TIMES
    owning: bool = False
    epoch: int = 0
    loading: set[str] = field(default_factory=set)
    policy: FleetPolicy = field(default_factory=FleetPolicy)
    jobs: dict[str, Job] = field(default_factory=dict)
    removed_jobs: dict[str, RemovedJob] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    units_by_worker: dict[str, set[UnitId]] = field(default_factory=dict)
    dirty_jobs: set[str] = field(default_factory=set)
    dirty_workers: set[str] = field(default_factory=set)
    pending_cancellations: set[str] = field(default_factory=set)
    progress: dict[str, StoredProgress] = field(default_factory=dict)
    obsolete_rows: deque[str] = field(default_factory=deque)
    waiting: set[UnitId] = field(default_factory=set)
    units_with_unknown_ends: set[UnitId] = field(default_factory=set)
    unreported_since: dict[str, float] = field(default_factory=dict)
    store_offset: float = 0.0
    wall_offset: float = 0.0
    pass_scheduled: bool = False
    capacity_changed: bool = False
    view: FleetView = field(default_factory=FleetView)
    planner: Planner = field(default_factory=Planner)
    queue_counts: dict[str, int] = field(default_factory=dict)
    reports_since: float = inf
    ticked_at: float = -inf
    message_number: int = 0
    wait_lines: WaitLines = field(default_factory=WaitLines)
    takeover: Takeover | None = None
    units_listed_at: float = -inf
    disregarded_services: frozenset[str] = frozenset()
    health_counted_at: float = -inf
    run_times: RunTimeModel = field(default_factory=RunTimeModel)
    evictions: dict[UnitId, EvictionAccount] = field(default_factory=dict)
    planning_lease: PlanningLease = field(default_factory=PlanningLease)
    published_load: PublishedLoad = field(default_factory=PublishedLoad)

    @property
    def active(self) -> bool:
        """Return whether this entry is the owner and has read all that it needs."""
        return self.owning and not self.loading

    def terms(self, job: Job) -> QueueTerms | None:
        """Return what the job's queue grants to it, or None if that is unknown.

        A job follows its queue to another service, priority or objective, and keeps at
        least the attempts with which it was accepted. Once the queue is removed, it goes
        on as it was accepted.
        """
        if job.terms_version != self.policy.version:
            job.terms_version = self.policy.version
            queue = self.policy.queues.get(job.spec.queue)
            job.terms = _combined(queue, job.accepted_terms)
        return job.terms

    def is_cordoned(self, worker: Worker) -> bool:
        """Return whether a worker gets no units.

        An agent that shows a cordon would refuse them, also if this process has yet to
        read the cordon, or has read its withdrawal before the agent.
        """
        return worker.cordoned or worker.info.data_centre in self.cordons.cordoned

    def unit(self, unit_id: UnitId) -> Unit | None:
        """Return the unit with the given id, or None."""
        job = self.jobs.get(unit_id.job_id)
        return job.units.get(unit_id) if job else None

    def is_held(self, task: str) -> bool:
        """Return whether the job of a task is held."""
        job = self.jobs.get(task.partition(".")[0])
        return job is not None and job.held

    def mark_worker(self, worker_id: str) -> None:
        """Mark a worker whose runs changed, so that its orders are written again."""
        self.dirty_workers.add(worker_id)
        self.view.changed_workers.add(worker_id)

    def units_on(self, worker_id: str) -> list[Unit]:
        """Return the known units with open members on a worker."""
        units = map(self.unit, self.units_by_worker.get(worker_id, ()))
        return [unit for unit in units if unit is not None]

    def allocated(self, worker: Worker) -> Resources:
        """Return the resources of all runs on a worker, including runs just ordered."""
        allocated = self.allocated_to_unknown_runs(worker)
        for unit in self.units_on(worker.worker_id):
            count = len(unit.open_members_on(worker.worker_id))
            allocated += unit.demand.times(count)
        return allocated

    def allocated_to_unknown_runs(self, worker: Worker) -> Resources:
        """Return the resources of the runs on a worker that are of no open member."""
        allocated = NO_RESOURCES
        if not worker.unknown_runs:
            return allocated
        ordered = {
            str(unit.task_id(member.index))
            for unit in self.units_on(worker.worker_id)
            for member in unit.open_members_on(worker.worker_id)
        }
        for run in worker.unknown_runs:
            if run.task not in ordered:
                allocated += self._demand_of(run.task)
        return allocated

    def _demand_of(self, task: str) -> Resources:
        job_id, _, rest = task.partition(".")
        job = self.jobs.get(job_id)
        parts = rest.split(".")
        if job is None or len(parts) != 3 or not parts[1].isdigit():
            return NO_RESOURCES
        step = int(parts[1])
        steps = job.spec.steps
        return steps[step].reserved if step < len(steps) else NO_RESOURCES


@dataclass(frozen=True, slots=True, kw_only=True)
class JobArrived(Message):
    """Deliver an accepted job."""

    spec: JobSpec


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelArrived(Message):
    """Deliver the cancellation of a job."""

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


def _combined(queue: Queue | None, accepted: QueueTerms | None) -> QueueTerms | None:
    if queue is None or accepted is None:
        return queue.terms if queue is not None else accepted
    attempts = max(queue.max_attempts, accepted.max_attempts)
    return replace(queue.terms, max_attempts=attempts)


def new_worker(report: WorkerReport) -> Worker:
    """Return the state of a worker from its first report."""
    return Worker(agent_id=report.agent_id, info=report.info)
