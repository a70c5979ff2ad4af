"""Run the real job decisions against small fake workers on the fake timers."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from functools import singledispatch
from math import inf
from random import Random
from unittest.mock import patch

from wasabispur_core import job_placement, task_report as task_report
from wasabispur_core.chart import ChartCatalogue
from wasabispur_core.command import CancelTimer, Command, SendToAgent, SetTimer
from wasabispur_core.fleet import WorkerAttached
from wasabispur_core.job import (
    AgentClock,
    decide,
    handle_job_event,
    Job,
    ReclaimRequested,
    SchedulerState,
)
from wasabispur_core.job_action import job_chart
from wasabispur_core.job_placement import PolicyChanged
from wasabispur_core.job_queue import JobsRead, JobTick
from wasabispur_core.job_record import JobRecord
from wasabispur_core.member import FromAgent
from wasabispur_core.message import Message
from wasabispur_core.ownership import RowCommitted, ShardLease, WriteRow
from wasabispur_core.placement import free_capacity, GangSize, place_gang
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
from wasabispur_core.timer import FakeSubscription, FakeTimerService

from .job_load import DATA_CENTRE, FleetModel, LoadedJob, worker_list
from .job_measure import Measures

TICK = 2.0
SAMPLE_INTERVAL = 60.0
LINK_DELAY = 0.001
STORE_DELAY = 0.01
"""Seconds between ticks and samples, and of one message and one store write."""

SILENT_SHARE = 0.1
"""Share of the workers that ignore every stop."""

RECLAIM_BOUND = 30.0
"""Seconds within which a reclaim has to end."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _GangDue(Message):
    """Report that a gang has run for its run time."""

    job_id: str
    gang_epoch: int


@dataclass(slots=True)
class _Gang:
    """Hold the tasks of a gang that started, and when the last one did."""

    workers: dict[str, str] = field(default_factory=dict)
    began: float | None = None


class JobModel:
    """Own the shard's job scheduler and the fake workers of one run."""

    def __init__(self, model: FleetModel, jobs: list[LoadedJob], seed: int) -> None:
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
        """Submit the jobs, run until all ended or the end, and return the measures."""
        for job in self.jobs.values():
            self.timers.subscribe(job.submitted, self.deliver, self.reading(job))
        next_sample = 0.0
        with (
            patch.object(job_placement, "place_job", self.timed_place_job),
            patch.object(job_placement, "handle_job_event", self.noted_fire),
        ):
            while self.timers.now() < end and len(self.measures.ends) < len(self.jobs):
                self.timers.advance(TICK)
                self.tick()
                if next_sample <= self.timers.now() < window:
                    next_sample = self.timers.now() + SAMPLE_INTERVAL
                    self.sample()
        return self.measures

    def reading(self, job: LoadedJob) -> JobsRead:
        """Return the reading in which the owner finds a job's row."""
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
        """Measure the CPU time of one scheduling decision."""
        started = time.process_time()
        commands = PLACE_JOB(scheduler, job, now)
        self.measures.decisions.append(time.process_time() - started)
        return commands

    def noted_fire(
        self, message: Message, scheduler: SchedulerState, job: Job, now: float
    ) -> list[Command]:
        """Note when a reclaim began."""
        if isinstance(message, ReclaimRequested):
            self.reclaim_starts.setdefault(message.job_id, now)
            self.measures.preemptions += 1
        return handle_job_event(message, scheduler, job, now)

    def tick(self) -> None:
        """Renew the clocks, as heartbeats would, and let time pass."""
        now = self.timers.now()
        clock = AgentClock(now, now)
        self.scheduler.clocks = dict.fromkeys(self.scheduler.fleet.workers, clock)
        self.deliver(JobTick())

    def deliver(self, message: Message) -> None:
        """Pass a message to the decisions and execute the commands."""
        for command in decide(message, self.scheduler, self.timers.now()):
            execute(command, self)

    def later(self, delay: float, message: Message) -> FakeSubscription:
        """Deliver a message after some seconds."""
        return self.timers.subscribe(delay, self.deliver, message)

    def report(self, worker_id: str, delay: float, message: Message) -> None:
        """Deliver a worker's report."""
        self.later(delay, FromAgent(agent_id=worker_id, message=message))

    def sample(self) -> None:
        """Note utilisation and fragmentation."""
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
        """Run a task; the gang ends once all of it ran for its run time."""
        gang_id, job_id = gang_of(start.task_id)
        gang = self.gangs.setdefault(gang_id, _Gang())
        gang.workers[start.task_id] = worker_id
        started = TaskStarted(task_id=start.task_id, gang_epoch=start.gang_epoch)
        self.report(worker_id, LINK_DELAY, started)
        if len(gang.workers) < self.jobs[job_id].spec.tasks:
            return
        gang.began = self.timers.now()
        self.measures.starts.setdefault(job_id, gang.began)
        self.note_reclaim(job_id, gang.began)
        due = _GangDue(job_id=job_id, gang_epoch=start.gang_epoch)
        self.timers.subscribe(self.remaining[job_id], self.end_gang, due)

    def note_reclaim(self, job_id: str, now: float) -> None:
        """Note how long a reclaim took."""
        began = self.reclaim_starts.pop(job_id, None)
        # The organisation's guarantee is used now; a later reclaim starts anew.
        organisation = self.jobs[job_id].spec.organisation
        for other in list(self.reclaim_starts):
            if self.jobs[other].spec.organisation == organisation:
                del self.reclaim_starts[other]
        if began is None:
            return
        self.measures.reclaims.append(now - began)
        self.measures.broken += now - began > RECLAIM_BOUND

    def end_gang(self, message: Message) -> None:
        """Finish the tasks of a gang unless it was stopped meanwhile."""
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
        """Stop a task after a checkpoint; a silent worker lets its lease lapse."""
        gang_id, job_id = gang_of(stop.task_id)
        gang = self.gangs.pop(gang_id, None)
        if gang is not None and gang.began is not None:
            self.save_work(job_id, gang, self.timers.now() - gang.began)
        if worker_id in self.silent:
            return
        stopped = TaskStopped(
            task_id=stop.task_id,
            gang_epoch=stop.gang_epoch,
            reason=Reason.RECLAIMED,
            checkpoint="saved",
        )
        self.report(worker_id, LINK_DELAY, stopped)

    def save_work(self, job_id: str, gang: _Gang, elapsed: float) -> None:
        """Keep the work of a gang if each of its workers takes a checkpoint."""
        if self.silent.isdisjoint(gang.workers.values()):
            self.remaining[job_id] = max(self.remaining[job_id] - elapsed, 0.0)
        else:
            self.measures.lost_work += elapsed * self.jobs[job_id].accelerators


def gang_of(task_id: str) -> tuple[str, str]:
    """Return the gang and the job of a task."""
    gang_id = task_id.rpartition(".")[0]
    return gang_id, gang_id.rpartition(".")[0]


PLACE_JOB = job_placement.place_job


@singledispatch
def execute(command: Command, run: JobModel) -> None:
    """Carry out one command of the decisions; reads and logs have no effect."""


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
    serve(command.message, command.agent_id, run)


@singledispatch
def serve(message: Message, worker_id: str, run: JobModel) -> None:
    """Answer a message as a worker's agent would; renewals need no answer."""


@serve.register
def _(message: ReserveTask, worker_id: str, run: JobModel) -> None:
    reserved = TaskReserved(task_id=message.task_id, gang_epoch=message.gang_epoch)
    run.report(worker_id, 2 * LINK_DELAY, reserved)


@serve.register
def _(message: StartTask, worker_id: str, run: JobModel) -> None:
    run.start_task(worker_id, message)


@serve.register
def _(message: StopTask, worker_id: str, run: JobModel) -> None:
    run.stop_task(worker_id, message)
