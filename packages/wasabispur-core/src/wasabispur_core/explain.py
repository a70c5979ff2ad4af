"""Explain why a job waits, and what would change it."""

from __future__ import annotations

from dataclasses import replace

from .command import Command
from .gang import write_record
from .job import Job, JobBoard
from .job_place import choose_seats, within_quota
from .job_record import Cause
from .placement import free_room, place_gang
from .reclaim import fits_home

REMEDIES = {
    Cause.NEW: "wait some seconds; if it stays, look for an owner of the shard",
    Cause.QUOTA: "wait for the organisation's own jobs, or raise its quota",
    Cause.RECLAIMING: "wait; the reclaim bound holds",
    Cause.RESERVED: "wait, or declare a shorter estimate if it is true",
    Cause.CALLED: "wait, or ask for a guarantee of the organisation's own",
    Cause.FRAGMENTED: "ask for smaller tasks, or wait for a block to merge",
    Cause.FULL: "wait for running jobs, or cancel some",
    Cause.AWAITING_PROOF: "restart the agent named under workers, or cancel the job",
    Cause.HELD: "read the results, then cancel it and submit a corrected job",
}


def remedy_of(cause: Cause) -> str:
    """Return what would change the cause, or an empty text."""
    return REMEDIES.get(cause, "")


def record_causes(board: JobBoard, now: float) -> list[Command]:
    """Write why each waiting job waits, where the cause has changed."""
    commands: list[Command] = []
    for job in board.jobs.values():
        cause = current_cause(board, job, now)
        if cause is not None and cause is not job.record.cause:
            record = replace(job.record, cause=cause)
            commands += write_record(board, job, record)
    return commands


def current_cause(board: JobBoard, job: Job, now: float) -> Cause | None:
    """Return the cause to record, or None while a write decides on the job."""
    if job.lifecycle.state == "queued":
        return waiting_cause(board, job, now)
    if job.lifecycle.state == "stopping" and job.needs_proof:
        return Cause.AWAITING_PROOF
    return None


def waiting_cause(board: JobBoard, job: Job, now: float) -> Cause:
    """Return why a queued job is not placed."""
    spec = job.record.spec
    if not within_quota(board, spec):
        return Cause.QUOTA
    if choose_seats(board, job, now) is not None:
        return Cause.NEW
    calling = spec.organisation in board.calling
    if spec.accelerators and calling and fits_home(board, spec):
        return Cause.RECLAIMING
    room = free_room(board.fleet)
    if place_gang(room, spec.size) is not None:
        others = board.calling - {spec.organisation}
        allowed = free_room(
            board.fleet,
            lambda worker, index: board.plan.owner(worker, index) not in others,
        )
        called = place_gang(allowed, spec.size) is None
        return Cause.CALLED if called else Cause.RESERVED
    free = sum(len(indices) for indices in room.free.values())
    enough = spec.accelerators and free >= spec.tasks * spec.accelerators
    return Cause.FRAGMENTED if enough else Cause.FULL
