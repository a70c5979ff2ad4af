"""Choose the jobs to preempt when an organisation reclaims its guarantee.

The candidates are jobs of other organisations that borrow its accelerators.
"""

from __future__ import annotations

from collections.abc import Iterable

from .guarantee import (
    candidate_allocations,
    capacity_outside,
    Guarantee,
    move_allocation,
)
from .job import Job, SchedulerState
from .job_record import Cause, JobSpec
from .placement import Assignment, FreeCapacity, place_gang

AllocationCost = tuple[int, bool, float]


def relocate_allocations(
    scheduler: SchedulerState, organisation: str, now: float
) -> None:
    """Move the organisation's unused allocations to where a reclaim costs least.

    Otherwise each reclaim of an allocation would preempt the same borrower.
    """
    for guarantee in list(scheduler.plan.allocations):
        if guarantee.organisation != organisation or _is_used(scheduler, guarantee):
            continue
        capacity = capacity_outside(scheduler.plan, scheduler.fleet, guarantee)
        allocations = [
            scheduler.plan.allocations[guarantee],
            *candidate_allocations(capacity, guarantee.shape),
        ]
        best = min(
            allocations,
            key=lambda assignments: _allocation_cost(scheduler, assignments, now),
        )
        move_allocation(scheduler.plan, guarantee, best)


def _is_used(scheduler: SchedulerState, guarantee: Guarantee) -> bool:
    allocation = _accelerators(scheduler.plan.allocations[guarantee])
    return any(
        allocation & assigned_accelerators(job)
        for job in scheduler.jobs.values()
        if job.record.spec.organisation == guarantee.organisation
    )


def _allocation_cost(
    scheduler: SchedulerState, assignments: tuple[Assignment, ...], now: float
) -> AllocationCost:
    """Return the cost of preempting the jobs that use the assignments.

    The cost is their highest number of preemptions so far, whether one of them is
    urgent, and their lost work in accelerator seconds.
    """
    allocation = _accelerators(assignments)
    orders = [
        victim_order(scheduler, job, now)
        for job in scheduler.jobs.values()
        if allocation & assigned_accelerators(job) and job.lifecycle.state != "stopping"
    ]
    return (
        max((preemptions for _, preemptions, *_ in orders), default=-1),
        any(urgent for _, _, urgent, *_ in orders),
        sum(work for *_, work, _ in orders),
    )


def _accelerators(assignments: tuple[Assignment, ...]) -> set[tuple[str, int]]:
    return {
        (assignment.worker_id, index)
        for assignment in assignments
        for index in assignment.accelerators
    }


def choose_victims(scheduler: SchedulerState, spec: JobSpec, now: float) -> list[Job]:
    """Return the borrowing jobs to stop so that the job fits in its own guarantee."""
    if not spec.accelerators or not fits_guarantee(scheduler, spec):
        return []
    borrowers = borrowers_of(scheduler, spec.organisation)
    borrowers.sort(key=lambda job: victim_order(scheduler, job, now))
    chosen: list[Job] = []
    for victim in borrowers:
        chosen.append(victim)
        assignments = place_gang(
            _capacity_after_stopping(scheduler, spec.organisation, chosen), spec.size
        )
        if assignments is not None:
            needed = {
                (s.worker_id, index) for s in assignments for index in s.accelerators
            }
            return [job for job in chosen if needed & assigned_accelerators(job)]
    return []


def victim_order(
    scheduler: SchedulerState, job: Job, now: float
) -> tuple[bool, int, bool, float, str]:
    """Return the sort key of preemption victims.

    Jobs that are stopping come first, then those with the fewest preemptions, those
    that are not urgent, and those with the least lost work in accelerator seconds.
    """
    stopping = job.lifecycle.state == "stopping"
    urgent = job.record.spec.work_class in scheduler.urgent_classes
    work = (now - job.started) * max(len(assigned_accelerators(job)), 1)
    record = job.record
    return (not stopping, record.preemptions, urgent, work, record.job_id)


def fits_guarantee(scheduler: SchedulerState, spec: JobSpec) -> bool:
    """Return whether the gang fits in the guarantee beside its organisation's jobs."""
    own = [
        job
        for job in scheduler.jobs.values()
        if job.record.spec.organisation == spec.organisation
    ]
    used = {held for job in own for held in assigned_accelerators(job)}
    capacity = _allocation_capacity(scheduler, spec.organisation)
    for worker_id, free in capacity.free.items():
        left = tuple(index for index in free if (worker_id, index) not in used)
        capacity.free[worker_id] = left
    return place_gang(capacity, spec.size) is not None


def borrowers_of(scheduler: SchedulerState, organisation: str) -> list[Job]:
    """Return the jobs of other organisations in the organisation's guarantee."""
    return [
        job
        for job in scheduler.jobs.values()
        if job.record.spec.organisation != organisation
        and any(
            scheduler.plan.owner(*held) == organisation
            for held in assigned_accelerators(job)
        )
    ]


def reclaiming_organisations(
    scheduler: SchedulerState, waiting: Iterable[Job]
) -> frozenset[str]:
    """Return the organisations with a waiting job that fits their guarantee."""
    organisations = {p.organisation for p in scheduler.plan.allocations}
    return frozenset(
        job.record.spec.organisation
        for job in waiting
        if job.record.spec.organisation in organisations
        and job.record.spec.accelerators
        and fits_guarantee(scheduler, job.record.spec)
    )


def placement_cause(scheduler: SchedulerState, job: Job) -> Cause:
    """Return the cause that names whose guarantee a job's accelerators belong to."""
    held = assigned_accelerators(job)
    if not held:
        return Cause.NO_ACCELERATORS
    allocations = {scheduler.plan.owner(*accelerator) for accelerator in held}
    if allocations == {job.record.spec.organisation}:
        return Cause.OWN_GUARANTEE
    if allocations <= {"", job.record.spec.organisation}:
        return Cause.SPARE
    return Cause.BORROWED


def assigned_accelerators(job: Job) -> set[tuple[str, int]]:
    """Return the accelerators that a job's members have assignments on."""
    return {
        (member.assignment.worker_id, index)
        for member in job.members.values()
        for index in member.assignment.accelerators
    }


def _allocation_capacity(scheduler: SchedulerState, organisation: str) -> FreeCapacity:
    """Return an organisation's whole guarantee, including accelerators in use."""
    fleet, plan = scheduler.fleet, scheduler.plan
    capacity = FreeCapacity(racks=fleet.racks())
    for worker_id in fleet.usable:
        count = fleet.workers[worker_id].accelerators
        capacity.free[worker_id] = tuple(
            index
            for index in range(count)
            if plan.owner(worker_id, index) == organisation
        )
    return capacity


def _capacity_after_stopping(
    scheduler: SchedulerState, organisation: str, victims: list[Job]
) -> FreeCapacity:
    """Return the guarantee's accelerators that are free or held by the victims."""
    freed = {held for job in victims for held in assigned_accelerators(job)}
    capacity = _allocation_capacity(scheduler, organisation)
    for worker_id, indices in capacity.free.items():
        free = set(scheduler.fleet.free(worker_id))
        capacity.free[worker_id] = tuple(
            index for index in indices if index in free or (worker_id, index) in freed
        )
    return capacity
