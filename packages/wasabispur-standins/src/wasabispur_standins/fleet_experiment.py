"""Run a load against the shard owner's scheduler on simulated time.

The scheduler and its planner are the product's; workers, their agents and the table
service are replaced by delays. It shows what callers of each queue get, and how much
work is lost.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from random import Random

from wasabispur_core.message import Message
from wasabispur_core.workload.admission.load_row import FleetLoad
from wasabispur_core.workload.jobs.progress import JobState
from wasabispur_core.workload.jobs.unit import (
    ACTIVE,
    ENDED_STATES,
    STOPPING,
    Unit,
    unit_name,
    UnitId,
)
from wasabispur_core.workload.owner.fleet_message import (
    ClocksRead,
    FleetTick,
    JobArrived,
    PlanningPassDue,
)
from wasabispur_core.workload.owner.scheduler import decide
from wasabispur_core.workload.policies.policy import Organisation
from wasabispur_core.workload.run_times.run_time import EstimateUse
from wasabispur_core.workload.workers.worker import EndKind

from .fleet_forecast import ForecastErrors
from .fleet_load import (
    CLASSES_BY_LOAD,
    DEFAULT_LOAD,
    flood_jobs,
    FLOOD_ORGANISATION,
    generate_jobs,
    GeneratedJob,
    JOB_CLASSES,
)
from .fleet_result import QueueResult
from .fleet_speed import DEFAULT_SPEED_PLAN, SpeedErrors, SpeedPlan
from .idle_job import IdleJobs
from .simulated_entry import FEED_DELAY, published_loads, SimulatedEntry
from .simulated_owner import CAPACITY, SimulatedOwner
from .stop_waste import RESTORE_TIME, STOP_TIMES, StopWaste, UnitKey

RACK_SIZE = 6
GUARANTEED_SHARE = 0.62
"""Share of the accelerators that the organisations' guarantees cover together."""

START_DELAY = 0.1
REPORT_DELAY = 0.1
"""Seconds from a decision to a start, and from an end to the owner's knowledge."""

TICK_INTERVAL = 0.25
LIST_INTERVAL = 1.0
"""Seconds between two ticks of the owner, and between two lists of a worker's runs."""

REMOTE_FACTOR = 3.0
"""Factor by which runs take longer away from their data, or over several racks."""

OBJECTIVE_MULTIPLE = 3.0
"""Multiple of its objective after which the end of a job has no value."""


@dataclass(slots=True)
class SimulatedRun:
    """Represent a run of a unit: its work in seconds, and its slowness.

    slowness is that of its slowest worker, times that of its distance from its rack,
    which is remoteness.
    """

    run: int
    started_at: float
    slowness: float
    work_left: float
    remoteness: float = 1.0
    stopping: bool = False
    stopped_at: float = 0.0


class FleetExperiment(SimulatedOwner):
    """Represent an owner, its fleet and a load, driven by events in time order."""

    def __init__(
        self,
        workers: int,
        organisations: int,
        jobs: Sequence[GeneratedJob],
        rack_size: int = RACK_SIZE,
        estimate_use: EstimateUse = EstimateUse.ALL,
        admission: bool = False,
        fair_shares: bool = False,
        speed_plan: SpeedPlan = DEFAULT_SPEED_PLAN,
    ) -> None:
        super().__init__(now=0.0, rack_size=rack_size)
        self.state.run_times.use = estimate_use
        self.state.published_load.enabled = admission
        self.state.fair_shares = fair_shares
        self.state.worker_speeds.enabled = (
            speed_plan.learned and estimate_use is not EstimateUse.NOTHING
        )
        self.speed_plan = speed_plan
        self.speed_errors = SpeedErrors(speed_plan)
        self.entry = SimulatedEntry()
        self.errors = ForecastErrors()
        self.idle = IdleJobs()
        self.waste = StopWaste()
        self.jobs = {job.spec.job_id: job for job in jobs}
        self.numbers = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.runs: dict[UnitId, SimulatedRun] = {}
        self.work_left: dict[UnitId, float] = {}
        self.results = {one.queue.name: QueueResult() for one in JOB_CLASSES}
        guarantee = GUARANTEED_SHARE * workers * CAPACITY.accelerators / organisations
        self.state.remote_factor = REMOTE_FACTOR
        self.state.stop_times = STOP_TIMES
        self.decide(ClocksRead(store_time=0.0, wall_time=0.0))
        self.own(
            [job_class.queue for job_class in JOB_CLASSES],
            [
                Organisation(name=f"o{number}", guaranteed_accelerators=int(guarantee))
                for number in range(organisations)
            ],
            workers,
        )
        self.speed_errors.workers = list(self.reports)
        for job in jobs:
            self._later(job.arrives_at, self._arrival(job))
        self._later(0.0, self._tick)

    def play(self, duration: float) -> dict[str, QueueResult]:
        """Return what callers got within a duration in seconds, by queue."""
        while self.events and self.events[0][0] <= duration:
            self.now, _, event = heappop(self.events)
            event()
            self._pass()
        self.now = duration
        for job in self.state.jobs.values():
            self._count_job(job.spec.job_id)
        for (queue, cause), wasted in self.waste.wasted.items():
            self.results[queue].wasted[cause] += round(wasted)
        for (job_id, _), stops in self.waste.stops.items():
            queue = self.jobs[job_id].spec.queue
            self.results[queue].stopped_again += stops > 1
        return self.results

    def decide(self, message: Message) -> None:
        """Let the scheduler handle a message, and note what it stops."""
        commands = decide(message, self.state, self.now)
        self.waste.observe(commands)
        for load in published_loads(commands):
            self._later(self.now + FEED_DELAY, self._delivery(load))

    def _later(self, at: float, event: Callable[[], None]) -> None:
        heappush(self.events, (at, next(self.numbers), event))

    def _arrival(self, job: GeneratedJob) -> Callable[[], None]:
        def arrive() -> None:
            if not self.entry.accepts(job.spec, self.state.policy, self.now):
                result = self._result(job.spec.job_id)
                result.rejected += 1
                result.small += job.small
                return
            self.errors.expect(job, self.state.run_times)
            self.decide(JobArrived(spec=job.spec))

        return arrive

    def _delivery(self, load: FleetLoad) -> Callable[[], None]:
        return lambda: self.entry.read(load, self.now)

    def _tick(self) -> None:
        self.confirm_workers()
        self.decide(FleetTick())
        for job_id, time in self.idle.update(self.state, self.now).items():
            known = self._result(job_id).idle_times
            known[job_id] = max(time, known.get(job_id, 0.0))
        if round(self.now / TICK_INTERVAL) % round(LIST_INTERVAL / TICK_INTERVAL) == 0:
            for worker_id in list(self.reports):
                self.report(worker_id)
        self._later(self.now + TICK_INTERVAL, self._tick)

    def _pass(self) -> None:
        changed = set(self.state.view.changed_units)
        if self.state.pass_scheduled:
            self.decide(PlanningPassDue())
        for unit_id in changed | self.state.view.changed_units:
            self._follow(unit_id)

    def _follow(self, unit_id: UnitId) -> None:
        """Simulate the start of a new run, and the stop of a preempted one."""
        unit = self.state.unit(unit_id)
        if unit is None:
            return
        known = self.runs.get(unit_id)
        if unit.state == ACTIVE and (known is None or known.run != unit.run):
            self._start(unit)
        elif unit.state == STOPPING and known is not None and not known.stopping:
            known.stopping = True
            known.stopped_at = self.now
            self._result(unit.unit_id.job_id).preemptions += 1
            end = self.now + self.waste.stop_time(unit.size)
            self._later(end, lambda: self._stop(unit, known))

    def _start(self, unit: Unit) -> None:
        job = self.jobs[unit.unit_id.job_id]
        left = self.work_left.get(unit.unit_id)
        if left is None:
            left = job.run_time * self.speed_plan.task_factor(unit)
        run = self.runs[unit.unit_id] = SimulatedRun(
            run=unit.run,
            started_at=self.now + START_DELAY,
            slowness=self.speed_plan.unit_factor(unit),
            work_left=left,
        )
        queue = self._queue_of(unit)
        self.waste.started(_key(unit), queue, run.started_at)
        if unit.unit_id in self.work_left:
            self.waste.restored(queue, _cores(unit))
        if self._is_remote(unit):
            run.remoteness = REMOTE_FACTOR
            run.slowness *= REMOTE_FACTOR
            self._result(unit.unit_id.job_id).remote_runs += 1
        if unit.run == 1:
            waited = run.started_at - job.arrives_at
            self._result(unit.unit_id.job_id).waits.append(waited)
        end = run.started_at + left * run.slowness + REPORT_DELAY
        self._later(end, lambda: self._finish(unit, run, EndKind.DONE))

    def _is_remote(self, unit: Unit) -> bool:
        """Return whether a run is away from its data, or over several racks."""
        racks = {
            self.state.workers[one.worker_ref.worker_id].info.rack
            for one in unit.members
        }
        spread = unit.step.gang and unit.step.same_rack and len(racks) > 1
        return spread or bool(unit.step.data_rack and racks != {unit.step.data_rack})

    def _stop(self, unit: Unit, run: SimulatedRun) -> None:
        if self.runs.get(unit.unit_id) is not run:
            return
        worked = lost = max(run.stopped_at - run.started_at, 0.0)
        if unit.step.checkpointing:
            left = run.work_left - worked / run.slowness
            self.work_left[unit.unit_id] = max(left, 0.0) + RESTORE_TIME
            # The time to restore was counted when the run began.
            lost = 0.0
        queue, stop = self._queue_of(unit), self.now - run.stopped_at
        self.waste.stopped(_key(unit), queue, _cores(unit), lost, stop, self.now)
        self._finish(unit, run, EndKind.STOPPED)

    def _finish(self, unit: Unit, run: SimulatedRun, kind: EndKind) -> None:
        if self.runs.get(unit.unit_id) is not run or unit.state in ENDED_STATES:
            return
        if run.stopping and kind is EndKind.DONE:
            return
        if kind is EndKind.DONE:
            self.errors.count_end(self._queue_of(unit))
            self.speed_errors.count_end(self.state.worker_speeds)
            if run.run == 1:
                job = self.jobs[unit.unit_id.job_id]
                ordered_at = run.started_at - START_DELAY
                self.errors.compare(job, self.now - ordered_at)
        self.end(unit, kind)

    def percent(self, unit: Unit) -> int:
        """Return the completed share of a unit's run on its slowest worker."""
        run = self.runs.get(unit.unit_id)
        return self._percent(unit, run.slowness) if run is not None else 0

    def member_percent(self, unit: Unit, worker_id: str) -> int:
        """Return the completed share of a member's run, as its worker lists it.

        In lockstep, all members of a gang proceed at the rate of the slowest one.
        """
        run = self.runs.get(unit.unit_id)
        if self.speed_plan.lockstep or run is None:
            return self.percent(unit)
        factor = self.speed_plan.worker_factor(worker_id)
        return self._percent(unit, factor * run.remoteness)

    def _percent(self, unit: Unit, slowness: float) -> int:
        run = self.runs.get(unit.unit_id)
        if run is None or run.run != unit.run:
            return 0
        total = self.jobs[unit.unit_id.job_id].run_time
        total *= self.speed_plan.task_factor(unit)
        done = max(self.now - run.started_at, 0.0) / slowness
        percent = int(100 * (1 - (run.work_left - done) / total))
        return min(max(percent, 0), 99)

    def _result(self, job_id: str) -> QueueResult:
        """Return the result to which a job counts."""
        spec = self.jobs[job_id].spec
        if spec.organisation == FLOOD_ORGANISATION:
            return self.results.setdefault(f"{spec.queue}+", QueueResult())
        return self.results[spec.queue]

    def _queue_of(self, unit: Unit) -> str:
        return self.jobs[unit.unit_id.job_id].spec.queue

    def _count_job(self, job_id: str) -> None:
        """Count a successful job by the multiple of its objective that it took."""
        generated, job = self.jobs[job_id], self.state.jobs[job_id]
        queue = self.state.policy.queues[generated.spec.queue]
        objective = queue.stretch * generated.run_time + queue.target
        ended_at = job.ended_at if job.state.ended else self.now
        took = ended_at - generated.arrives_at
        result = self._result(job_id)
        owed = result.owed
        if job.state is JobState.FAILED:
            result.too_late += 1
        elif took <= objective:
            # A job that can still be in time when the experiment ends isn't owed.
            result.in_time += job.state.ended
            if generated.small and job.state.ended:
                result.small_in_time += 1
        elif took <= OBJECTIVE_MULTIPLE * objective:
            result.late += job.state.ended
        else:
            result.too_late += 1
        if generated.small:
            result.small += result.owed - owed


def _key(unit: Unit) -> UnitKey:
    return unit.unit_id.job_id, unit_name(unit.unit_id)


def _cores(unit: Unit) -> float:
    return unit.size * unit.step.demand.weight


def play_load(
    workers: int,
    organisations: int,
    rate: float,
    duration: float,
    seed: int,
    rack_size: int = 0,
    load: str = DEFAULT_LOAD,
    estimate_use: EstimateUse = EstimateUse.ALL,
    estimate_errors: Sequence[float] = (),
    forecast_errors: ForecastErrors | None = None,
    flood: float = 0.0,
    admission: bool = False,
    fair_shares: bool = False,
    speed_plan: SpeedPlan = DEFAULT_SPEED_PLAN,
    speed_errors: SpeedErrors | None = None,
) -> dict[str, QueueResult]:
    """Return what callers get of one load, by queue.

    rate is in jobs a second and duration in seconds. With a rack_size, some of the jobs
    prefer a rack of so many workers. load names the classes of the jobs. estimate_use
    tells for what the owner uses learned run times, and estimate_errors the largest
    relative errors of callers' estimates, by class. The errors of learned run times are
    added to forecast_errors. With a flood, which is in jobs a second, one more
    organisation submits so many, which count apart. With admission, jobs are accepted
    by the load that the owner publishes. With fair_shares, units wait by the shares of
    their organisations. speed_plan defines how fast workers are; the errors of the
    learned factors are added to speed_errors.
    """
    racks = workers // rack_size if rack_size else 0
    random = Random(seed)
    classes = CLASSES_BY_LOAD[load]
    jobs = generate_jobs(
        rate, duration, organisations, random, racks, classes, estimate_errors
    )
    if flood:
        jobs += flood_jobs(flood, duration, random, racks, estimate_errors)
    size = rack_size or RACK_SIZE
    experiment = FleetExperiment(
        workers,
        organisations,
        jobs,
        size,
        estimate_use,
        admission,
        fair_shares,
        speed_plan,
    )
    results = experiment.play(duration)
    if forecast_errors is not None:
        forecast_errors.add(experiment.errors)
    if speed_errors is not None:
        speed_errors.add(experiment.speed_errors)
    return results
