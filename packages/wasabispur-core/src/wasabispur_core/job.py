"""Decide the life of the jobs of one shard at its owner."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatch
from typing import Any

from .action import Action, Guard
from .chart import Chart, Lifecycle
from .command import Command
from .error import UnhandledMessageError
from .fleet import Fleet, WorkerAttached, WorkerDetached, WorkerLeaving
from .guarantee import GuaranteePlan
from .job_record import job_key, JobRecord
from .message import Message
from .ownership import RowCommitted, ShardLease
from .placement import Assignment
from .run_time import RunTimes
from .worker_health import HealthTracker

ENDED_LIMIT = 10_000
"""Jobs that ended in this ownership, kept so that a late read revives none."""


class MemberPhase(Enum):
    """Tell what the owner knows of one member of a gang."""

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
    """Report that there is room for the whole gang."""

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
    """Report that an organisation needs its guarantee for a job."""

    organisation: str
    job_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ReservationExpired(Message):
    """Report that a gang took too long to reserve or to start."""

    job_id: str
    gang_epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberLost(Message):
    """Report that a member's lease is over on every clock."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GangEnded(Message):
    """Report that no member of the gang can run any more."""


@dataclass(slots=True)
class GangMember:
    """Hold one task of a gang; deadline and latest_end are on the owner's clock.

    Past the deadline the rest of the gang is stopped. Past latest_end the task
    can't run, whatever its agent does.
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
        """Note a command that lets the task run until a time."""
        self.deadline = max(self.deadline, until)
        self.latest_end = max(self.latest_end, until)


@dataclass(slots=True)
class Job:
    """Hold the state of one job."""

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
        """Return whether only the agents' word shows that the gang ended."""
        return self.record.spec.at_most_once and self.record.start_possible

    def has_ended(self, member: GangMember, now: float) -> bool:
        """Return whether the member can't run any more."""
        if member.phase in ENDED_PHASES:
            return True
        return now >= member.latest_end and not self.requires_end_confirmation


@dataclass(frozen=True, slots=True)
class AgentClock:
    """Hold the clock in an agent's last heartbeat and when it arrived."""

    clock: float
    received: float


@dataclass(slots=True)
class SchedulerState:
    """Own the jobs of one shard while this entry owns the shard."""

    shard: str
    chart: Chart
    lease: ShardLease
    fleet: Fleet = field(default_factory=Fleet)
    jobs: dict[str, Job] = field(default_factory=dict)
    ended: OrderedDict[str, None] = field(default_factory=OrderedDict)
    clocks: dict[str, AgentClock] = field(default_factory=dict)
    owning: bool = False
    acquired_at: float = 0.0
    write_count: int = 0
    next_renewal: float = 0.0
    next_listing: float = 0.0
    plan: GuaranteePlan = field(default_factory=GuaranteePlan)
    plan_stale: bool = True
    reclaiming: frozenset[str] = frozenset()
    urgent_classes: frozenset[str] = frozenset()
    quotas: dict[str, int] = field(default_factory=dict)
    reservations: list[Any] = field(default_factory=list)
    last_pass: tuple[Any, ...] = ()
    next_pass: float = 0.0
    run_times: RunTimes = field(default_factory=RunTimes)
    health: HealthTracker = field(default_factory=HealthTracker)


class JobAction(Action[SchedulerState, Job]):
    """Name an effect in the job chart."""

    __slots__ = ()


class JobGuard(Guard[SchedulerState, Job]):
    """Name a condition in the job chart."""

    __slots__ = ()


def handle_job_event(
    message: Message, scheduler: SchedulerState, job: Job, now: float
) -> list[Command]:
    """Pass an event to a job and follow up if its gang or the job ended."""
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
    """Drop an ended job and remember its id."""
    scheduler.jobs.pop(job.record.job_id, None)
    scheduler.ended[job.record.job_id] = None
    while len(scheduler.ended) > ENDED_LIMIT:
        scheduler.ended.popitem(last=False)


@singledispatch
def decide(message: Message, scheduler: SchedulerState, now: float) -> list[Command]:
    """Return the commands that a message to the job component causes."""
    raise UnhandledMessageError(
        f"the job component does not take {type(message).__name__}",
        "send it to the component that handles it",
    )


@decide.register
def _(message: WorkerAttached, scheduler: SchedulerState, now: float) -> list[Command]:
    worker = message.worker
    scheduler.fleet.attach(worker)
    scheduler.plan_stale = True
    scheduler.clocks[worker.worker_id] = AgentClock(message.clock, now)
    # The next tick asks the agent at once for the tasks that it holds.
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
def _(message: RowCommitted, scheduler: SchedulerState, now: float) -> list[Command]:
    for job in list(scheduler.jobs.values()):
        latest = job.write_number == message.number
        if latest and job_key(scheduler.shard, job.record.job_id) == message.key:
            return handle_job_event(message, scheduler, job, now)
    return []
