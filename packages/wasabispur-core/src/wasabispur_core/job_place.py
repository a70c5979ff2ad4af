"""Place the waiting jobs, and reclaim guaranteed accelerators for them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .backfill import closed_to, update_reservations
from .command import Command, WriteLog
from .fleet import Fleet
from .guarantee import GuaranteePlan, Promise, repack
from .job import (
    decide,
    fire,
    GangPlaced,
    Job,
    JobBoard,
    JobRejected,
    ReclaimRequested,
)
from .job_record import guarantee_key, JobRecord, JobSpec
from .log_event import GUARANTEE_LOST, GUARANTEE_MET
from .message import Message
from .ownership import WriteRow
from .placement import free_room, impossible_reason, place_gang, Seat
from .reclaim import (
    calling_organisations,
    choose_victims,
    held_by,
    relocate_homes,
)

SETTLE_TIME = 30.0
"""Seconds after a takeover in which workers may still attach, so that no job is
rejected as too large."""

PASS_INTERVAL = 5.0
"""Seconds after which the queue is looked at again though nothing changed."""

STOPPABLE = frozenset(
    ("placing", "reserving", "recording_start", "starting", "adopting", "running")
)


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicyChanged(Message):
    """Report what the bundle in force says about the shard's jobs.

    The quotas bound the accelerators in use by organisation.
    """

    promises: tuple[Promise, ...] = ()
    quotas: dict[str, int] = field(default_factory=dict)
    urgent_classes: frozenset[str] = frozenset()


@decide.register
def _(message: PolicyChanged, board: JobBoard, now: float) -> list[Command]:
    board.plan.promises = message.promises
    board.quotas = message.quotas
    board.urgent_classes = message.urgent_classes
    board.plan_stale = True
    board.last_pass = ()
    return place_waiting(board, now) if board.owning else []


def place_waiting(board: JobBoard, now: float) -> list[Command]:
    """Place the waiting jobs that fit: urgent ones first, then by submission."""
    quarantine(board, now)
    commands = refresh_plan(board)
    if not board.lease.may_start(now):
        return commands
    waiting = [job for job in board.jobs.values() if job.lifecycle.state == "queued"]
    waiting.sort(key=lambda job: queue_order(board, job))
    if not is_pass_due(board, waiting, now):
        return commands
    board.calling = calling_organisations(board, waiting)
    blocked: list[Job] = []
    if not waiting:
        board.reservations = []
    for job in waiting:
        commands += place_job(board, job, now)
        if job.lifecycle.state == "queued" and within_quota(board, job.record.spec):
            blocked.append(job)
            update_reservations(board, blocked, now)
    board.last_pass = pass_key(board, waiting)
    board.next_pass = now + PASS_INTERVAL
    return commands


def pass_key(board: JobBoard, waiting: list[Job]) -> tuple[Any, ...]:
    """Return what decides whether another pass over the queue can differ."""
    return (board.fleet.version, *(job.record.job_id for job in waiting))


def is_pass_due(board: JobBoard, waiting: list[Job], now: float) -> bool:
    """Return whether something changed, or time may have changed an estimate."""
    return now >= board.next_pass or pass_key(board, waiting) != board.last_pass


def queue_order(board: JobBoard, job: Job) -> tuple[bool, int, str]:
    """Return the order in which jobs are placed."""
    record = job.record
    urgent = record.spec.work_class in board.urgent_classes
    return (not urgent, record.sequence, record.job_id)


def quarantine(board: JobBoard, now: float) -> None:
    """Take workers on which everything fails out of placement for a time."""
    quarantined = board.health.update(len(board.fleet.available), now)
    if quarantined != board.fleet.quarantined:
        board.fleet.quarantined = quarantined
        board.fleet.version += 1
        board.plan_stale = True


def within_quota(board: JobBoard, spec: JobSpec) -> bool:
    """Return whether the organisation may use as many accelerators more."""
    quota = board.quotas.get(spec.organisation)
    if quota is None:
        return True
    used = sum(
        len(held_by(job))
        for job in board.jobs.values()
        if job.record.spec.organisation == spec.organisation
    )
    return used + spec.tasks * spec.accelerators <= quota


def refresh_plan(board: JobBoard) -> list[Command]:
    """Pack the guarantees again if workers or promises changed, and report."""
    if not board.plan_stale:
        return []
    board.plan_stale = False
    before = set(board.plan.lost)
    repack(board.plan, board.fleet)
    after = set(board.plan.lost)
    shown: list[Command] = []
    if board.owning:
        row = WriteRow(
            key=guarantee_key(board.shard), value=show_guarantees(board.plan)
        )
        shown.append(row)
    return [
        *shown,
        *(_report(GUARANTEE_LOST.number, promise) for promise in after - before),
        *(_report(GUARANTEE_MET.number, promise) for promise in before - after),
    ]


def place_job(board: JobBoard, job: Job, now: float) -> list[Command]:
    """Place one job, reclaim its guarantee, or reject it if it can never run."""
    spec = job.record.spec
    reason = never_reason(board, spec, now)
    if reason:
        return fire(JobRejected(reason=reason), board, job, now)
    if not within_quota(board, spec):
        return []
    seats = choose_seats(board, job, now)
    if seats is not None:
        return fire(GangPlaced(seats=seats), board, job, now)
    relocate_homes(board, spec.organisation, now)
    request = ReclaimRequested(organisation=spec.organisation, job_id=job.record.job_id)
    commands: list[Command] = []
    for victim in choose_victims(board, spec, now):
        if victim.lifecycle.state in STOPPABLE:
            commands += fire(request, board, victim, now)
    return commands


def never_reason(board: JobBoard, spec: JobSpec, now: float) -> str:
    """Return why the job can never run, or an empty text."""
    quota = board.quotas.get(spec.organisation)
    needed = spec.tasks * spec.accelerators
    if quota is not None and needed > quota:
        return f"the job needs {needed} accelerators and the quota is {quota}"
    if now - board.acquired < SETTLE_TIME:
        return ""
    return impossible_reason(board.fleet, spec.size)


def choose_seats(board: JobBoard, job: Job, now: float) -> tuple[Seat, ...] | None:
    """Return free seats: own guarantee first, then spare, then borrowed ones."""
    spec, record = job.record.spec, job.record
    if free_count(board.fleet) < spec.tasks * spec.accelerators:
        return None
    avoided = avoided_workers(board, record)
    if not spec.accelerators:
        room = free_room(board.fleet, avoided=avoided)
        return place_gang(room, spec.size)
    owner, organisation = board.plan.owner, spec.organisation
    # A home whose organisation waits for it is lent to nobody.
    closed_homes = board.calling - {organisation}
    # Nobody's reservation keeps an organisation out of its own home.
    closed = {
        held for held in closed_to(board, job, now) if owner(*held) != organisation
    }
    choices: tuple[Callable[[str], bool], ...] = (
        lambda home: home == organisation,
        lambda home: home == "",
        lambda home: home in ("", organisation),
        lambda home: home not in closed_homes,
    )
    for suits in choices:
        room = free_room(
            board.fleet,
            lambda worker, index, suits=suits: (  # type: ignore[misc]
                suits(owner(worker, index)) and (worker, index) not in closed
            ),
            avoided,
        )
        seats = place_gang(room, spec.size)
        if seats is not None:
            return seats
    return None


def free_count(fleet: Fleet) -> int:
    """Return the free accelerators of the usable workers, adjacent or not."""
    return sum(len(fleet.free(worker_id)) for worker_id in fleet.usable)


def avoided_workers(board: JobBoard, record: JobRecord) -> frozenset[str]:
    """Return the workers on which the job failed, if there are others."""
    failed = frozenset(record.failed_workers)
    others = board.fleet.usable - failed
    enough = sum(
        board.fleet.workers[worker].accelerators >= record.spec.accelerators
        for worker in others
    )
    return failed if enough else frozenset()


def show_guarantees(plan: GuaranteePlan) -> dict[str, Any]:
    """Return the row that shows which guarantees can be met, and where."""
    shapes = [
        {
            "organisation": promise.organisation,
            "shape": promise.shape.name,
            "workers": sorted({s.worker_id for s in plan.homes.get(promise, ())}),
            "met": promise in plan.homes,
        }
        for promise in plan.promises
    ]
    return {"schema": 1, "shapes": shapes}


def _report(number: int, promise: Promise) -> WriteLog:
    fields = {"organisation": promise.organisation, "shape": promise.shape.name}
    return WriteLog(number=number, fields=fields)
