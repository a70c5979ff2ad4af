"""Explain why a job waits and what an operator can do about it.

The shard's owner writes the cause into the job's row, so that any entry instance can
report it.
"""

from __future__ import annotations

from dataclasses import replace

from ..command import Command
from .gang import write_record
from .job import Job, SchedulerState
from .job_placement import choose_assignments, within_quota
from .job_record import Cause
from .placement import free_capacity, place_gang
from .reclaim import fits_guarantee

REMEDIES = {
    Cause.NEW: "wait some seconds; if it stays, look for an owner of the shard",
    Cause.QUOTA: "wait for the organisation's own jobs, or raise its quota",
    Cause.CORDONED: (
        "wait until operators withdraw the cordon with wasabispur uncordon, or submit "
        "the job to another data centre"
    ),
    Cause.RECLAIMING: "wait; the reclaim bound holds",
    Cause.RESERVED: "wait, or declare a shorter estimate if it is true",
    Cause.RECALLED: "wait, or ask for a guarantee of the organisation's own",
    Cause.FRAGMENTED: "ask for smaller tasks, or wait for a block to merge",
    Cause.FULL: "wait for running jobs, or cancel some",
    Cause.AWAITING_CONFIRMATION: (
        "restart the agent named under workers, or cancel the job"
    ),
    Cause.HELD: "read the results, then cancel it and submit a corrected job",
}


def remedy_of(cause: Cause) -> str:
    """Return what an operator can do about a cause, or an empty string."""
    return REMEDIES.get(cause, "")


def record_causes(scheduler: SchedulerState, now: float) -> list[Command]:
    """Write the cause of each waiting job whose cause has changed."""
    commands: list[Command] = []
    for job in scheduler.jobs.values():
        cause = current_cause(scheduler, job, now)
        if cause is not None and cause is not job.record.cause:
            record = replace(job.record, cause=cause)
            commands += write_record(scheduler, job, record)
    return commands


def current_cause(scheduler: SchedulerState, job: Job, now: float) -> Cause | None:
    """Return the cause of a waiting job, or None if the job doesn't wait."""
    if job.lifecycle.state == "queued":
        return waiting_cause(scheduler, job, now)
    if job.lifecycle.state == "stopping" and job.requires_end_confirmation:
        return Cause.AWAITING_CONFIRMATION
    return None


def waiting_cause(scheduler: SchedulerState, job: Job, now: float) -> Cause:
    """Return why a queued job is not placed."""
    spec = job.record.spec
    if scheduler.cordoned:
        return Cause.CORDONED
    if not within_quota(scheduler, spec):
        return Cause.QUOTA
    if choose_assignments(scheduler, job, now) is not None:
        return Cause.NEW
    reclaiming = spec.organisation in scheduler.reclaiming
    if spec.accelerators and reclaiming and fits_guarantee(scheduler, spec):
        return Cause.RECLAIMING
    capacity = free_capacity(scheduler.fleet)
    if place_gang(capacity, spec.size) is not None:
        others = scheduler.reclaiming - {spec.organisation}
        allowed = free_capacity(
            scheduler.fleet,
            lambda worker, index: scheduler.plan.owner(worker, index) not in others,
        )
        is_recalled = place_gang(allowed, spec.size) is None
        return Cause.RECALLED if is_recalled else Cause.RESERVED
    free = sum(len(indices) for indices in capacity.free.values())
    enough = spec.accelerators and free >= spec.tasks * spec.accelerators
    return Cause.FRAGMENTED if enough else Cause.FULL
