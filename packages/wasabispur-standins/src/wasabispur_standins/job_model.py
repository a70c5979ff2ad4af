"""Simulate a shard's scheduler and its workers for the job benchmark.

The simulation runs the product's job decisions against minimal workers on the fake
timer service, without processes or sockets.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from functools import singledispatch
from math import inf
from random import Random
from unittest.mock import patch

from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.command import CancelTimer, Command, SendToAgent, SetTimer
from wasabispur_core.jobs import job_placement, task_report as task_report
from wasabispur_core.jobs.fleet import WorkerAttached
from wasabispur_core.jobs.job import (
    AgentClock,
    decide,
    handle_job_event,
    Job,
    ReclaimRequested,
    SchedulerState,
)
from wasabispur_core.jobs.job_action import job_chart
from wasabispur_core.jobs.job_placement import PolicyChanged
from wasabispur_core.jobs.job_queue import JobsRead, JobTick
from wasabispur_core.jobs.job_record import JobRecord
from wasabispur_core.jobs.placement import free_capacity, GangSize, place_gang
from wasabispur_core.membership.member import FromAgent
from wasabispur_core.message import Message
from wasabispur_core.protocol import (
    Reason,
    ReserveTask,
    StartTask,
    StopTask,
    TaskFinished,
    TaskReserved,
    TaskStarted,
    TaskStopped,
)
from wasabispur_core.sharding.ownership import RowCommitted, ShardLease, WriteRow
from wasabispur_core.timer import FakeSubscription, FakeTimerService

from .job_load import DATA_CENTRE, FleetModel, GeneratedJob, worker_list
from .job_measure import Measures

TICK = 2.0
"""Seconds of simulated time between two ticks of the scheduler."""

SAMPLE_INTERVAL = 60.0
"""Seconds of simulated time between two samples."""

LINK_DELAY = 0.001
"""Seconds that a message takes in one direction."""

STORE_DELAY = 0.01
"""Seconds that a store write takes."""

SILENT_SHARE = 0.1
"""Share of the workers that don't answer stop commands."""

RECLAIM_BOUND = 30.0
"""Seconds within which the reclaiming organisation's gang has to start."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _GangDue(Message):
    """Report that a gang has run for its remaining run time."""

    job_id: str
    gang_epoch: int


@dataclass(slots=True)
class _Gang:
    """Represent the started tasks of a gang.

    Workers maps task ids to worker ids. The attribute started_at is the time at which
    the last task started, or None while tasks are missing.
    """

    workers: dict[str, str] = field(default_factory=dict)
    started_at: float | None = None


class JobModel:
    """Simulate the job scheduler of one shard and its workers for one run."""

    def __init__(self, model: FleetModel, jobs: list[GeneratedJob], seed: int) -> None:
        self.timers = FakeTimerService()
        self.jobs = {job.job_id: job for job in jobs}
        self.remaining = {job.job_id: job.run_time for job in jobs}
        lease = ShardLease(epoch=1, held_until=inf)
        chart = job_chart(ChartCatalogue())
        self.scheduler = SchedulerState(DATA_CENTRE, chart, lease, owning=True)
        self.measures = Measures("wasabispur", model.accelerators)
        self.subscriptions: dict[str, FakeSubscription] = {}
        self.gangs: dict[str, _Gang] = {}
        self.reclaim_starts: dict[str, float] = {}
        random = Random(seed)
        workers = worker_list(model.workers)
        self.silent = {w.worker_id for w in workers if random.random() < SILENT_SHARE}
        for worker in workers:
            self.deliver(WorkerAttached(worker=worker, clock=0.0))
        self.deliver(
            PolicyChanged(
                guarantees=model.guarantees, urgent_classes=frozenset(("urgent",))
            )
        )

    def run(self, window: float, end: float) -> Measures:
        """Submit the jobs, run until all have ended and return the measures.

        Samples are taken until window, and the run stops at end at the latest; both
        times are in seconds.
        """
        for job in self.jobs.values():
            self.timers.subscribe(job.submitted, self.deliver, self.jobs_read(job))
        next_sample = 0.0
        with (
            patch.object(job_placement, "place_job", self.timed_place_job),
            patch.object(job_placement, "handle_job_event", self.record_reclaim_start),
        ):
            while self.timers.now() < end and len(self.measures.ends) < len(self.jobs):
                self.timers.advance(TICK)
                self.tick()
                if next_sample <= self.timers.now() < window:
                    next_sample = self.timers.now() + SAMPLE_INTERVAL
                    self.sample()
        return self.measures

    def jobs_read(self, job: GeneratedJob) -> JobsRead:
        """Return the read result in which the shard's owner finds the row of a job."""
        record = JobRecord(
            job_id=job.job_id,
            shard=DATA_CENTRE,
            spec=job.spec,
            sequence=int(job.submitted * 1000),
        )
        return JobsRead(epoch=1, records=(record,), cancelled=())

    def timed_place_job(
        self, scheduler: SchedulerState, job: Job, now: float
    ) -> list[Command]:
        """Place a job and record the CPU time of the decision."""
        started = time.process_time()
        commands = PLACE_JOB(scheduler, job, now)
        self.measures.decisions.append(time.process_time() - started)
        return commands

    def record_reclaim_start(
        self, message: Message, scheduler: SchedulerState, job: Job, now: float
    ) -> list[Command]:
        """Handle a job event and record the start of a reclaim."""
        if isinstance(message, ReclaimRequested):
            self.reclaim_starts.setdefault(message.job_id, now)
            self.measures.preemptions += 1
        return handle_job_event(message, scheduler, job, now)

    def tick(self) -> None:
        """Update the agents' clocks as heartbeats do, and deliver a tick."""
        now = self.timers.now()
        clock = AgentClock(now, now)
        self.scheduler.clocks = dict.fromkeys(self.scheduler.fleet.workers, clock)
        self.deliver(JobTick())

    def deliver(self, message: Message) -> None:
        """Pass a message to the decisions and execute their commands."""
        for command in decide(message, self.scheduler, self.timers.now()):
            execute(command, self)

    def later(self, delay: float, message: Message) -> FakeSubscription:
        """Deliver a message after a delay in seconds."""
        return self.timers.subscribe(delay, self.deliver, message)

    def report(self, worker_id: str, delay: float, message: Message) -> None:
        """Deliver a report from the agent of a worker after a delay in seconds."""
        self.later(delay, FromAgent(agent_id=worker_id, message=message))

    def sample(self) -> None:
        """Record utilisation and fragmentation."""
        capacity = free_capacity(self.scheduler.fleet)
        free = sum(len(indices) for indices in capacity.free.values())

        def fits(size: GangSize) -> bool:
            return place_gang(capacity, size) is not None

        waiting = [
            job.record.spec.size
            for job in self.scheduler.jobs.values()
            if job.lifecycle.state == "queued"
        ]
        self.measures.sample(free, fits, waiting)

    def start_task(self, worker_id: str, start: StartTask) -> None:
        """Start a task; the run time of a gang begins when its last task starts."""
        gang_id, job_id = gang_of(start.task_id)
        gang = self.gangs.setdefault(gang_id, _Gang())
        gang.workers[start.task_id] = worker_id
        started = TaskStarted(task_id=start.task_id, gang_epoch=start.gang_epoch)
        self.report(worker_id, LINK_DELAY, started)
        if len(gang.workers) < self.jobs[job_id].spec.tasks:
            return
        gang.started_at = self.timers.now()
        self.measures.starts.setdefault(job_id, gang.started_at)
        self.record_reclaim(job_id, gang.started_at)
        due = _GangDue(job_id=job_id, gang_epoch=start.gang_epoch)
        self.timers.subscribe(self.remaining[job_id], self.end_gang, due)

    def record_reclaim(self, job_id: str, now: float) -> None:
        """Record the time of a reclaim, which ends when the reclaiming gang starts."""
        started_at = self.reclaim_starts.pop(job_id, None)
        # The organisation's guarantee is in use now: its other pending reclaims are
        # dropped, and a later reclaim is timed from its own start.
        organisation = self.jobs[job_id].spec.organisation
        for other in list(self.reclaim_starts):
            if self.jobs[other].spec.organisation == organisation:
                del self.reclaim_starts[other]
        if started_at is None:
            return
        self.measures.reclaims.append(now - started_at)
        self.measures.late_reclaims += now - started_at > RECLAIM_BOUND

    def end_gang(self, message: Message) -> None:
        """Report the tasks of a gang as finished unless the gang was stopped."""
        if not isinstance(message, _GangDue):
            return
        gang = self.gangs.pop(f"{message.job_id}.{message.gang_epoch}", None)
        if gang is None:
            return
        self.measures.ends[message.job_id] = self.timers.now()
        for task_id, worker_id in gang.workers.items():
            finished = TaskFinished(
                task_id=task_id,
                gang_epoch=message.gang_epoch,
                succeeded=True,
                result="",
            )
            self.report(worker_id, LINK_DELAY, finished)

    def stop_task(self, worker_id: str, stop: StopTask) -> None:
        """Stop a task after a checkpoint.

        A silent worker sends no report, so that the scheduler has to wait for the
        lease to expire.
        """
        gang_id, job_id = gang_of(stop.task_id)
        gang = self.gangs.pop(gang_id, None)
        if gang is not None and gang.started_at is not None:
            self.record_progress(job_id, gang, self.timers.now() - gang.started_at)
        if worker_id in self.silent:
            return
        stopped = TaskStopped(
            task_id=stop.task_id,
            gang_epoch=stop.gang_epoch,
            reason=Reason.RECLAIMED,
            checkpoint="saved",
        )
        self.report(worker_id, LINK_DELAY, stopped)

    def record_progress(self, job_id: str, gang: _Gang, elapsed: float) -> None:
        """Count the elapsed seconds of a gang as done, or as lost work.

        The work is lost if any worker of the gang is silent, because a silent worker
        takes no checkpoint.
        """
        if self.silent.isdisjoint(gang.workers.values()):
            self.remaining[job_id] = max(self.remaining[job_id] - elapsed, 0.0)
        else:
            self.measures.lost_work += elapsed * self.jobs[job_id].accelerators


def gang_of(task_id: str) -> tuple[str, str]:
    """Return the ids of the gang and of the job of a task."""
    gang_id = task_id.rpartition(".")[0]
    return gang_id, gang_id.rpartition(".")[0]


PLACE_JOB = job_placement.place_job


@singledispatch
def execute(command: Command, run: JobModel) -> None:
    """Execute one command of the decisions; reads and logs have no effect."""


@execute.register
def _(command: WriteRow, run: JobModel) -> None:
    if command.number:
        run.later(STORE_DELAY, RowCommitted(key=command.key, number=command.number))


@execute.register
def _(command: SetTimer, run: JobModel) -> None:
    execute(CancelTimer(timer_id=command.timer_id), run)
    subscription = run.later(command.delay, command.message)
    run.subscriptions[command.timer_id] = subscription


@execute.register
def _(command: CancelTimer, run: JobModel) -> None:
    subscription = run.subscriptions.pop(command.timer_id, None)
    if subscription is not None:
        subscription.cancel()


@execute.register
def _(command: SendToAgent, run: JobModel) -> None:
    handle_agent_message(command.message, command.agent_id, run)


@singledispatch
def handle_agent_message(message: Message, worker_id: str, run: JobModel) -> None:
    """Handle a message to a worker's agent; renewals need no reply."""


@handle_agent_message.register
def _(message: ReserveTask, worker_id: str, run: JobModel) -> None:
    reserved = TaskReserved(task_id=message.task_id, gang_epoch=message.gang_epoch)
    run.report(worker_id, 2 * LINK_DELAY, reserved)


@handle_agent_message.register
def _(message: StartTask, worker_id: str, run: JobModel) -> None:
    run.start_task(worker_id, message)


@handle_agent_message.register
def _(message: StopTask, worker_id: str, run: JobModel) -> None:
    run.stop_task(worker_id, message)
