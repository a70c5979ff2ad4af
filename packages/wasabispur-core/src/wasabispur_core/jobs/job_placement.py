"""Place queued jobs on workers in the scheduler of the shard's owner.

The scheduler preempts jobs that borrow guaranteed accelerators if the organisation
with the guarantee needs them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..command import Command, WriteLog
from ..log_event import GUARANTEE_LOST, GUARANTEE_MET
from ..message import Message
from ..sharding.ownership import WriteRow
from .backfill import add_reservation, reserved_for_others
from .fleet import Fleet
from .guarantee import Guarantee, GuaranteePlan, repack
from .job import (
    DataCentreCordoned,
    decide,
    GangPlaced,
    handle_job_event,
    Job,
    JobRejected,
    ReclaimRequested,
    SchedulerState,
)
from .job_cordon import cordon_log
from .job_record import guarantee_key, JobRecord, JobSpec
from .placement import Assignment, free_capacity, impossible_reason, place_gang
from .reclaim import (
    assigned_accelerators,
    choose_victims,
    reclaiming_organisations,
    relocate_allocations,
)

WORKER_ATTACH_TIMEOUT = 30.0
"""Seconds after a takeover in which workers may still attach.

No job is rejected as too large for the data centre before they have passed.
"""

PASS_INTERVAL = 30.0
"""Seconds after which the queue is scheduled again even if nothing changed."""

PREEMPTIBLE_STATES = frozenset(
    ("placing", "reserving", "recording_start", "starting", "adopting", "running")
)
"""States of the job state chart in which a job can be preempted."""

UNORDERED_STATES = frozenset(("placing", "reserving", "recording_start"))
"""States of the job state chart in which a gang is placed and no start was sent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicyChanged(Message):
    """Report the job policy in the bundle of settings in force.

    quotas maps an organisation to the number of accelerators that it may use at once.
    cordoned is set if no task may be started in the data centre.
    """

    guarantees: tuple[Guarantee, ...] = ()
    quotas: dict[str, int] = field(default_factory=dict)
    urgent_classes: frozenset[str] = frozenset()
    cordoned: bool = False


@decide.register
def _(message: PolicyChanged, scheduler: SchedulerState, now: float) -> list[Command]:
    scheduler.plan.guarantees = message.guarantees
    scheduler.quotas = message.quotas
    scheduler.urgent_classes = message.urgent_classes
    scheduler.plan_stale = True
    scheduler.last_pass = ()
    commands = apply_cordon(scheduler, message.cordoned, now)
    if scheduler.owning:
        commands += place_queued_jobs(scheduler, now)
    return commands


def apply_cordon(
    scheduler: SchedulerState, cordoned: bool, now: float
) -> list[Command]:
    """Begin or end a cordon, which stops the gangs whose start was not ordered yet."""
    if cordoned == scheduler.cordoned:
        return []
    scheduler.cordoned = cordoned
    commands = [cordon_log(scheduler.shard, cordoned)]
    if not cordoned:
        return commands
    for job in list(scheduler.jobs.values()):
        if job.lifecycle.state in UNORDERED_STATES:
            commands += handle_job_event(DataCentreCordoned(), scheduler, job, now)
    return commands


def place_queued_jobs(scheduler: SchedulerState, now: float) -> list[Command]:
    """Place the queued jobs that fit: urgent jobs first, then by submission."""
    update_quarantine(scheduler, now)
    commands = refresh_plan(scheduler)
    if not scheduler.lease.may_start(now):
        return commands
    waiting = [
        job for job in scheduler.jobs.values() if job.lifecycle.state == "queued"
    ]
    waiting.sort(key=lambda job: queue_order(scheduler, job))
    if not is_pass_due(scheduler, waiting, now):
        return commands
    scheduler.reclaiming = reclaiming_organisations(scheduler, waiting)
    scheduler.reservations = []
    for job in waiting:
        commands += place_job(scheduler, job, now)
        if job.lifecycle.state == "queued" and within_quota(scheduler, job.record.spec):
            add_reservation(scheduler, job, now)
    scheduler.last_pass = pass_inputs(scheduler, waiting)
    scheduler.next_pass = now + PASS_INTERVAL
    return commands


def pass_inputs(scheduler: SchedulerState, waiting: list[Job]) -> tuple[Any, ...]:
    """Return the fleet version and the queued jobs, which decide a pass's result."""
    return (scheduler.fleet.version, *(job.record.job_id for job in waiting))


def is_pass_due(scheduler: SchedulerState, waiting: list[Job], now: float) -> bool:
    """Return whether the inputs of a pass changed or the pass interval is over.

    The interval covers estimates that change only with time.
    """
    return (
        now >= scheduler.next_pass
        or pass_inputs(scheduler, waiting) != scheduler.last_pass
    )


def queue_order(scheduler: SchedulerState, job: Job) -> tuple[bool, int, str]:
    """Return the sort key that orders queued jobs for placement."""
    record = job.record
    urgent = record.spec.work_class in scheduler.urgent_classes
    return (not urgent, record.sequence, record.job_id)


def update_quarantine(scheduler: SchedulerState, now: float) -> None:
    """Exclude workers on which nearly every task fails from placement for a time."""
    quarantined = scheduler.health.update(len(scheduler.fleet.available), now)
    if quarantined != scheduler.fleet.quarantined:
        scheduler.fleet.quarantined = quarantined
        scheduler.fleet.version += 1
        scheduler.plan_stale = True


def within_quota(scheduler: SchedulerState, spec: JobSpec) -> bool:
    """Return whether the job's accelerators fit in its organisation's quota."""
    quota = scheduler.quotas.get(spec.organisation)
    if quota is None:
        return True
    used = sum(
        len(assigned_accelerators(job))
        for job in scheduler.jobs.values()
        if job.record.spec.organisation == spec.organisation
    )
    return used + spec.tasks * spec.accelerators <= quota


def refresh_plan(scheduler: SchedulerState) -> list[Command]:
    """Pack the guarantees again if the plan is stale, and report what changed."""
    if not scheduler.plan_stale:
        return []
    scheduler.plan_stale = False
    before = set(scheduler.plan.lost)
    repack(scheduler.plan, scheduler.fleet)
    after = set(scheduler.plan.lost)
    guarantee_writes: list[Command] = []
    if scheduler.owning:
        row = WriteRow(
            key=guarantee_key(scheduler.shard), value=guarantees_row(scheduler.plan)
        )
        guarantee_writes.append(row)
    return [
        *guarantee_writes,
        *(
            _guarantee_log(GUARANTEE_LOST.number, guarantee)
            for guarantee in after - before
        ),
        *(
            _guarantee_log(GUARANTEE_MET.number, guarantee)
            for guarantee in before - after
        ),
    ]


def place_job(scheduler: SchedulerState, job: Job, now: float) -> list[Command]:
    """Place one job, reclaim its guarantee, or reject it if it can never run."""
    spec = job.record.spec
    reason = rejection_reason(scheduler, spec, now)
    if reason:
        return handle_job_event(JobRejected(reason=reason), scheduler, job, now)
    if scheduler.cordoned or not within_quota(scheduler, spec):
        return []
    assignments = choose_assignments(scheduler, job, now)
    if assignments is not None:
        return handle_job_event(
            GangPlaced(assignments=assignments), scheduler, job, now
        )
    relocate_allocations(scheduler, spec.organisation, now)
    request = ReclaimRequested(organisation=spec.organisation, job_id=job.record.job_id)
    commands: list[Command] = []
    for victim in choose_victims(scheduler, spec, now):
        if victim.lifecycle.state in PREEMPTIBLE_STATES:
            commands += handle_job_event(request, scheduler, victim, now)
    return commands


def rejection_reason(scheduler: SchedulerState, spec: JobSpec, now: float) -> str:
    """Return why the job can never run, or an empty string."""
    quota = scheduler.quotas.get(spec.organisation)
    needed = spec.tasks * spec.accelerators
    if quota is not None and needed > quota:
        return f"the job needs {needed} accelerators and the quota is {quota}"
    if now - scheduler.acquired_at < WORKER_ATTACH_TIMEOUT:
        return ""
    return impossible_reason(scheduler.fleet, spec.size)


def choose_assignments(
    scheduler: SchedulerState, job: Job, now: float
) -> tuple[Assignment, ...] | None:
    """Return assignments for the whole gang, or None if it doesn't fit.

    The organisation's own guarantee comes first, then accelerators that are guaranteed
    to nobody, then borrowed ones.
    """
    spec, record = job.record.spec, job.record
    if free_count(scheduler.fleet) < spec.tasks * spec.accelerators:
        return None
    avoided = avoided_workers(scheduler, record)
    if not spec.accelerators:
        capacity = free_capacity(scheduler.fleet, avoided=avoided)
        return place_gang(capacity, spec.size)
    owner, organisation = scheduler.plan.owner, spec.organisation
    # An allocation that its organisation is reclaiming isn't lent to others.
    closed_allocations = scheduler.reclaiming - {organisation}
    # A reservation never blocks an organisation's own allocation.
    closed = {
        held
        for held in reserved_for_others(scheduler, job, now)
        if owner(*held) != organisation
    }
    choices: tuple[Callable[[str], bool], ...] = (
        lambda allocation: allocation == organisation,
        lambda allocation: allocation == "",
        lambda allocation: allocation in ("", organisation),
        lambda allocation: allocation not in closed_allocations,
    )
    for is_allowed in choices:
        capacity = free_capacity(
            scheduler.fleet,
            lambda worker, index, is_allowed=is_allowed: (  # type: ignore[misc]
                is_allowed(owner(worker, index)) and (worker, index) not in closed
            ),
            avoided,
        )
        assignments = place_gang(capacity, spec.size)
        if assignments is not None:
            return assignments
    return None


def free_count(fleet: Fleet) -> int:
    """Return the number of free accelerators on usable workers, adjacent or not."""
    return sum(len(fleet.free(worker_id)) for worker_id in fleet.usable)


def avoided_workers(scheduler: SchedulerState, record: JobRecord) -> frozenset[str]:
    """Return the workers on which the job failed, if another worker can run it."""
    failed = frozenset(record.failed_workers)
    others = scheduler.fleet.usable - failed
    enough = sum(
        scheduler.fleet.workers[worker].accelerators >= record.spec.accelerators
        for worker in others
    )
    return failed if enough else frozenset()


def guarantees_row(plan: GuaranteePlan) -> dict[str, Any]:
    """Return the value of the row that shows which guarantees are met, and where."""
    shapes = [
        {
            "organisation": guarantee.organisation,
            "shape": guarantee.shape.name,
            "workers": sorted(
                {s.worker_id for s in plan.allocations.get(guarantee, ())}
            ),
            "met": guarantee in plan.allocations,
        }
        for guarantee in plan.guarantees
    ]
    return {"schema": 1, "shapes": shapes}


def _guarantee_log(number: int, guarantee: Guarantee) -> WriteLog:
    fields = {"organisation": guarantee.organisation, "shape": guarantee.shape.name}
    return WriteLog(number=number, fields=fields)
