"""Place the waiting jobs, and reclaim guaranteed accelerators for them."""

from __future__ import annotations

from dataclasses import dataclass

from .command import Command, WriteLog
from .guarantee import Promise, repack
from .job import (
    decide,
    fire,
    GangPlaced,
    Job,
    JobBoard,
    JobRejected,
    ReclaimRequested,
)
from .job_record import JobSpec
from .log_event import GUARANTEE_LOST, GUARANTEE_MET
from .message import Message
from .placement import free_room, impossible_reason, place_gang, Seat
from .reclaim import calling_organisations, choose_victims, relocate_homes

SETTLE_TIME = 30.0
"""Seconds after a takeover in which workers may still attach, so that no job is
rejected as too large."""

STOPPABLE = frozenset(
    ("placing", "reserving", "recording_start", "starting", "adopting", "running")
)


@dataclass(frozen=True, slots=True, kw_only=True)
class PromisesChanged(Message):
    """Report the guaranteed shapes of the bundle in force."""

    promises: tuple[Promise, ...]
    urgent_classes: frozenset[str] = frozenset()


@decide.register
def _(message: PromisesChanged, board: JobBoard, now: float) -> list[Command]:
    board.plan.promises = message.promises
    board.urgent_classes = message.urgent_classes
    board.plan_stale = True
    return place_waiting(board, now) if board.owning else []


def place_waiting(board: JobBoard, now: float) -> list[Command]:
    """Place the waiting jobs that fit, in the order of their submission."""
    commands = refresh_plan(board)
    if not board.lease.may_start(now):
        return commands
    waiting = [job for job in board.jobs.values() if job.lifecycle.state == "queued"]
    waiting.sort(key=lambda job: (job.record.sequence, job.record.job_id))
    board.calling = calling_organisations(board, waiting)
    for job in waiting:
        commands += place_job(board, job, now)
    return commands


def refresh_plan(board: JobBoard) -> list[Command]:
    """Pack the guarantees again if workers or promises changed, and report."""
    if not board.plan_stale:
        return []
    board.plan_stale = False
    before = set(board.plan.lost)
    repack(board.plan, board.fleet)
    after = set(board.plan.lost)
    return [
        *(_report(GUARANTEE_LOST.number, promise) for promise in after - before),
        *(_report(GUARANTEE_MET.number, promise) for promise in before - after),
    ]


def place_job(board: JobBoard, job: Job, now: float) -> list[Command]:
    """Place one job, reclaim its guarantee, or reject it if it can never run."""
    spec = job.record.spec
    seats = choose_seats(board, spec)
    if seats is not None:
        return fire(GangPlaced(seats=seats), board, job, now)
    relocate_homes(board, spec.organisation, now)
    victims = choose_victims(board, spec, now)
    if victims:
        request = ReclaimRequested(
            organisation=spec.organisation, job_id=job.record.job_id
        )
        commands: list[Command] = []
        for victim in victims:
            if victim.lifecycle.state in STOPPABLE:
                commands += fire(request, board, victim, now)
        return commands
    settled = now - board.acquired >= SETTLE_TIME
    reason = impossible_reason(board.fleet, spec.size) if settled else ""
    if reason:
        return fire(JobRejected(reason=reason), board, job, now)
    return []


def choose_seats(board: JobBoard, spec: JobSpec) -> tuple[Seat, ...] | None:
    """Return free seats: own guarantee first, then spare, then borrowed ones."""
    owner, organisation = board.plan.owner, spec.organisation
    if not spec.accelerators:
        return place_gang(free_room(board.fleet), spec.size)
    choices = (
        lambda worker, index: owner(worker, index) == organisation,
        lambda worker, index: owner(worker, index) == "",
        lambda worker, index: owner(worker, index) in ("", organisation),
        # A home whose organisation waits for it is lent to nobody.
        lambda worker, index: (
            owner(worker, index) not in board.calling - {organisation}
        ),
    )
    for allowed in choices:
        seats = place_gang(free_room(board.fleet, allowed), spec.size)
        if seats is not None:
            return seats
    return None


def _report(number: int, promise: Promise) -> WriteLog:
    fields = {"organisation": promise.organisation, "shape": promise.shape.name}
    return WriteLog(number=number, fields=fields)
