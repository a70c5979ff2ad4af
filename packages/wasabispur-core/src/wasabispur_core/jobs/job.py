"""Decide the lifecycle of a shard's jobs at the entry instance that owns the shard.

The scheduler there runs one state chart for each job, and handles the events that
agents, callers and the table service cause.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatch
from typing import Any

from ..action import Action, Guard
from ..chart import Chart, Lifecycle
from ..command import Command
from ..error import UnhandledMessageError
from ..message import Message
from ..sharding.ownership import (
    OwnershipConfirmed,
    RowCommitted,
    RowRejected,
    ShardLease,
)
from ..workload.run_times.run_time import RunTimeModel
from .fleet import Fleet, WorkerAttached, WorkerDetached, WorkerLeaving
from .guarantee import GuaranteePlan
from .job_record import job_key, JobRecord
from .job_run_time import new_run_times
from .placement import Assignment
from .worker_health import HealthTracker

ENDED_LIMIT = 10_000
"""Maximum number of ended job ids that an owner remembers.

A row read that began before a job ended must not create the job again.
"""


class MemberPhase(Enum):
    """Define the progress of a gang member as far as the owner knows it.

    GONE means that the task was refused or stopped, or that no command was sent for it.
    """

    PLACED = "placed"
    RESERVED = "reserved"
    STARTED = "started"
    FINISHED = "finished"
    GONE = "gone"


ENDED_PHASES = (MemberPhase.FINISHED, MemberPhase.GONE)


@dataclass(frozen=True, slots=True, kw_only=True)
class JobLoaded(Message):
    """Report that a job's row was read for the first time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GangPlaced(Message):
    """Report the assignments that place a whole gang."""

    assignments: tuple[Assignment, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class JobRejected(Message):
    """Report that the job can never run."""

    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelRequested(Message):
    """Report that a caller cancelled the job."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReclaimRequested(Message):
    """Report to a borrowing job that an organisation reclaims its guarantee.

    job_id is the job of the organisation that needs the accelerators.
    """

    organisation: str
    job_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReservationExpired(Message):
    """Report that a gang took too long to reserve or to start."""

    job_id: str
    gang_epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreCordoned(Message):
    """Report that a gang whose start was not ordered yet must not start."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberLost(Message):
    """Report that a member passed its deadline, or that its agent lost the task."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GangEnded(Message):
    """Report that no member of the gang can run any more."""


@dataclass(slots=True)
class GangMember:
    """Represent one task of a gang at the shard's owner.

    deadline and latest_end are on the owner's clock, and every command that lets the
    task run extends both. If the task hasn't ended by the deadline, the owner stops the
    rest of the gang. Past latest_end the task can't run any more, whatever its agent
    does.
    """

    assignment: Assignment
    task_id: str
    deadline: float
    latest_end: float
    phase: MemberPhase = MemberPhase.PLACED
    lost: bool = False
    succeeded: bool = False
    result: str = ""
    checkpoint: str = ""

    def extend_lease(self, until: float) -> None:
        """Extend both times after a command that lets the task run until a time."""
        self.deadline = max(self.deadline, until)
        self.latest_end = max(self.latest_end, until)


@dataclass(slots=True)
class Job:
    """Represent one job at the shard's owner.

    write_number identifies the latest write of the job's row. started is the owner's
    time of the latest placement. reclaimed means that the job is being preempted.
    """

    record: JobRecord
    lifecycle: Lifecycle
    members: dict[str, GangMember] = field(default_factory=dict)
    cancelled: bool = False
    write_number: int = 0
    stop_reason: str = ""
    started: float = 0.0
    reclaimed: bool = False

    @property
    def requires_end_confirmation(self) -> bool:
        """Return whether only reports of the agents can show that the gang ended.

        An at-most-once job that may have started never starts again on a timeout.
        """
        return self.record.spec.at_most_once and self.record.start_possible

    def has_ended(self, member: GangMember, now: float) -> bool:
        """Return whether the member can't run any more."""
        if member.phase in ENDED_PHASES:
            return True
        return now >= member.latest_end and not self.requires_end_confirmation


@dataclass(frozen=True, slots=True)
class AgentClock:
    """Relate the clock of an agent to the clock of the owner.

    clock is the agent's last reading, and received the owner's time at which it
    arrived.
    """

    clock: float
    received: float


@dataclass(slots=True)
class SchedulerState:
    """Represent one entry's scheduler for the jobs of one shard.

    The scheduler has jobs only while the entry owns the shard, and has all of them once
    jobs_read is set. ended lists the ids of jobs that ended since it gained the shard.
    reclaiming lists the organisations whose guarantees are not lent at present. While
    cordoned is set, no job is placed.
    last_pass and next_pass decide whether a scheduling pass over the queue is due. All
    times are in seconds on the owner's clock.
    """

    shard: str
    chart: Chart
    lease: ShardLease
    fleet: Fleet = field(default_factory=Fleet)
    jobs: dict[str, Job] = field(default_factory=dict)
    ended: OrderedDict[str, None] = field(default_factory=OrderedDict)
    clocks: dict[str, AgentClock] = field(default_factory=dict)
    owning: bool = False
    jobs_read: bool = False
    acquired_at: float = 0.0
    write_count: int = 0
    next_renewal: float = 0.0
    next_listing: float = 0.0
    plan: GuaranteePlan = field(default_factory=GuaranteePlan)
    plan_stale: bool = True
    reclaiming: frozenset[str] = frozenset()
    urgent_classes: frozenset[str] = frozenset()
    quotas: dict[str, int] = field(default_factory=dict)
    cordoned: bool = False
    reservations: list[Any] = field(default_factory=list)
    last_pass: tuple[Any, ...] = ()
    next_pass: float = 0.0
    run_times: RunTimeModel = field(default_factory=new_run_times)
    health: HealthTracker = field(default_factory=HealthTracker)


class JobAction(Action[SchedulerState, Job]):
    """Define the base class of the actions in the job state chart."""

    __slots__ = ()


class JobGuard(Guard[SchedulerState, Job]):
    """Define the base class of the guards in the job state chart."""

    __slots__ = ()


def handle_job_event(
    message: Message, scheduler: SchedulerState, job: Job, now: float
) -> list[Command]:
    """Handle an event in a job's state chart and return the commands that it causes.

    Members that ended release their accelerators. Once all members of a stopping gang
    have ended, GangEnded follows. An ended job is removed from the scheduler.
    """
    commands = job.lifecycle.handle(message, scheduler, job, now)
    if job.lifecycle.state == "placing":
        return commands
    ended = [m for m in job.members.values() if job.has_ended(m, now)]
    for member in ended:
        scheduler.fleet.release(member.assignment.worker_id, member.task_id)
    if job.lifecycle.state == "stopping" and len(ended) == len(job.members):
        commands += job.lifecycle.handle(GangEnded(), scheduler, job, now)
    if job.lifecycle.state == "ended":
        remove_ended_job(scheduler, job)
    return commands


def remove_ended_job(scheduler: SchedulerState, job: Job) -> None:
    """Remove an ended job from the scheduler and remember its id."""
    scheduler.jobs.pop(job.record.job_id, None)
    scheduler.ended[job.record.job_id] = None
    while len(scheduler.ended) > ENDED_LIMIT:
        scheduler.ended.popitem(last=False)


@singledispatch
def decide(message: Message, scheduler: SchedulerState, now: float) -> list[Command]:
    """Return the commands that a message to the scheduler causes."""
    raise UnhandledMessageError(
        f"the job scheduler does not handle {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide.register
def _(message: WorkerAttached, scheduler: SchedulerState, now: float) -> list[Command]:
    worker = message.worker
    scheduler.fleet.attach(worker)
    scheduler.plan_stale = True
    scheduler.clocks[worker.worker_id] = AgentClock(message.clock, now)
    # The next tick renews at once, and the agent replies with its task inventory.
    scheduler.next_renewal = now
    return []


@decide.register
def _(message: WorkerDetached, scheduler: SchedulerState, now: float) -> list[Command]:
    scheduler.fleet.detach(message.worker_id)
    scheduler.plan_stale = True
    scheduler.clocks.pop(message.worker_id, None)
    return []


@decide.register
def _(message: WorkerLeaving, scheduler: SchedulerState, now: float) -> list[Command]:
    scheduler.fleet.detach(message.worker_id)
    scheduler.plan_stale = True
    return []


@decide.register
def _(
    message: ReservationExpired, scheduler: SchedulerState, now: float
) -> list[Command]:
    job = scheduler.jobs.get(message.job_id)
    if job is None or job.record.gang_epoch != message.gang_epoch:
        return []
    if job.lifecycle.state in ("queued", "placing"):
        return []
    return handle_job_event(message, scheduler, job, now)


@decide.register
def _(message: RowRejected, scheduler: SchedulerState, now: float) -> list[Command]:
    # The job goes no further without its row, which a log event names.
    return []


@decide.register
def _(
    message: OwnershipConfirmed, scheduler: SchedulerState, now: float
) -> list[Command]:
    # Each start looks at the lease itself.
    return []


@decide.register
def _(message: RowCommitted, scheduler: SchedulerState, now: float) -> list[Command]:
    for job in list(scheduler.jobs.values()):
        latest = job.write_number == message.number
        if latest and job_key(scheduler.shard, job.record.job_id) == message.key:
            return handle_job_event(message, scheduler, job, now)
    return []
