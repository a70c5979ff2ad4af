"""Define the owner's state of all jobs and workers.

The owner is the entry instance that owns the shard; it alone decides where tasks run.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from math import inf

from ...chart import Chart
from ..admission.published_load import PublishedLoad
from ..jobs.job import Job, RemovedJob, StoredProgress, WaitLines
from ..jobs.spec import NO_RESOURCES, QueueTerms, Resources, TaskId
from ..jobs.stop_times import DEFAULT_STOP_TIMES, StopTimes
from ..jobs.unit import Unit, UnitId
from ..jobs.unit_stop import EvictionAccount
from ..planning.fleet_view import FleetView
from ..planning.organisation_share import LoggedShares
from ..planning.plan import DEFAULT_REMOTE_FACTOR
from ..planning.planner import Planner
from ..policies.cordon import OwnerCordons
from ..policies.policy import FleetPolicy, Queue
from ..run_times.run_time import RunTimeModel
from ..run_times.worker_speed import WorkerSpeeds
from ..workers.reported_worker import Worker
from .pending_cancellation import PendingCancellations
from .planning_lease import PlanningLease
from .takeover import Takeover


@dataclass(slots=True, kw_only=True)
class FleetState:
    """Represent all jobs and workers while this entry is the owner.

    loading contains the tables that have yet to be read, and the configuration if this
    process has read none so far. dirty_jobs and dirty_workers contain the ids whose
    rows have to be written. pending_cancellations contains the cancellations
    whose job is not known. unreported_since contains the workers with recorded runs
    but without a report, with the time in monotonic seconds. progress contains the
    progress as a former owner stored it, until the job is restored, and obsolete_rows
    the keys of rows to remove. store_offset is the store's clock minus this process's
    clock, and wall_offset the wall clock minus this process's clock, both in seconds.
    capacity_changed is set if another planning pass may lead to other decisions than
    the last one. horizon is the lease horizon in seconds, and remote_factor how many
    times as long a task takes away from the rack that it prefers. view is what the
    planner knew in its last pass, with the changes since, and planner keeps what the
    pass found. reports_since is the time since which reports have arrived without a
    gap, and ticked_at the time of the last tick, both in monotonic seconds.
    removed_jobs contains the jobs whose rows may still be delivered although they were
    removed. message_number counts the messages that were handled, and wait_lines the
    lines about long waits. takeover is the takeover in which this entry became the
    owner, or None. units_listed_at is the time at which the open units were last
    counted. cordons is what is known of the operators' cordons. disregarded_services
    contains the services whose workers' health checks are not reliable, and
    health_counted_at is the time of the last count of their answers. run_times contains
    what was learned of the run times of tasks, and worker_speeds of those of workers.
    stop_times is how long stops take, and evictions contains the stops for each
    beneficiary that has yet to be placed.
    published_load is the load as entries know it. fair_shares is set if units wait by
    the shares of organisations, and share_log is what the log last told of them.
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
    pending_cancellations: PendingCancellations = field(
        default_factory=PendingCancellations
    )
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
    worker_speeds: WorkerSpeeds = field(default_factory=WorkerSpeeds)
    evictions: dict[UnitId, EvictionAccount] = field(default_factory=dict)
    planning_lease: PlanningLease = field(default_factory=PlanningLease)
    published_load: PublishedLoad = field(default_factory=PublishedLoad)
    fair_shares: bool = False
    share_log: LoggedShares = field(default_factory=LoggedShares)

    @property
    def active(self) -> bool:
        """Return whether this entry is the owner and has read all that it needs."""
        return self.owning and not self.loading

    def terms(self, job: Job) -> QueueTerms | None:
        """Return what the job's queue grants to it, or None if that is unknown.

        A job follows its queue to another service, priority or objective, and keeps at
        least the attempts with which it was accepted. Once the queue is removed, it
        goes on as it was accepted.
        """
        terms = job.terms
        if terms.version != self.policy.version:
            terms.version = self.policy.version
            queue = self.policy.queues.get(job.spec.queue)
            terms.current = _combined(queue, terms.accepted)
        return terms.current

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

    def mark_speed_changed(self, worker_id: str) -> None:
        """Mark a worker whose factor changed, so that its units are derived again."""
        self.view.changed_workers.add(worker_id)
        self.view.changed_units.update(self.units_by_worker.get(worker_id, ()))

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
        try:
            task_id = TaskId.parse(task)
        except ValueError:
            return NO_RESOURCES
        job = self.jobs.get(task_id.job_id)
        if job is None or not 0 <= task_id.step < len(job.spec.steps):
            return NO_RESOURCES
        return job.spec.steps[task_id.step].reserved


def _combined(queue: Queue | None, accepted: QueueTerms | None) -> QueueTerms | None:
    if queue is None or accepted is None:
        return queue.terms if queue is not None else accepted
    attempts = max(queue.max_attempts, accepted.max_attempts)
    return replace(queue.terms, max_attempts=attempts)
