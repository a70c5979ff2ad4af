"""Choose the work that is stopped when an organisation needs its guarantee."""

from __future__ import annotations

from collections.abc import Iterable

from .guarantee import candidate_homes, move_home, outside_room, Promise
from .job import Job, JobBoard
from .job_record import Cause, JobSpec
from .placement import place_gang, Room, Seat

HomeCost = tuple[int, bool, float]


def relocate_homes(board: JobBoard, organisation: str, now: float) -> None:
    """Move the organisation's unused homes to where a reclaim costs least.

    Without it the same borrower would pay for each reclaim of a home.
    """
    for promise in list(board.plan.homes):
        if promise.organisation != organisation or _is_used(board, promise):
            continue
        room = outside_room(board.plan, board.fleet, promise)
        homes = [board.plan.homes[promise], *candidate_homes(room, promise.shape)]
        best = min(homes, key=lambda seats: _home_cost(board, seats, now))
        move_home(board.plan, promise, best)


def _is_used(board: JobBoard, promise: Promise) -> bool:
    home = _accelerators(board.plan.homes[promise])
    return any(
        home & held_by(job)
        for job in board.jobs.values()
        if job.record.spec.organisation == promise.organisation
    )


def _home_cost(board: JobBoard, seats: tuple[Seat, ...], now: float) -> HomeCost:
    """Return most preemptions, urgency and lost work of those in the way."""
    home = _accelerators(seats)
    orders = [
        victim_order(board, job, now)
        for job in board.jobs.values()
        if home & held_by(job) and job.lifecycle.state != "stopping"
    ]
    return (
        max((preemptions for _, preemptions, *_ in orders), default=-1),
        any(urgent for _, _, urgent, *_ in orders),
        sum(work for *_, work, _ in orders),
    )


def _accelerators(seats: tuple[Seat, ...]) -> set[tuple[str, int]]:
    return {(seat.worker_id, index) for seat in seats for index in seat.accelerators}


def choose_victims(board: JobBoard, spec: JobSpec, now: float) -> list[Job]:
    """Return the borrowers whose stop lets the job run in its own guarantee."""
    if not spec.accelerators or not fits_home(board, spec):
        return []
    borrowers = borrowers_of(board, spec.organisation)
    borrowers.sort(key=lambda job: victim_order(board, job, now))
    chosen: list[Job] = []
    for victim in borrowers:
        chosen.append(victim)
        seats = place_gang(_room_without(board, spec.organisation, chosen), spec.size)
        if seats is not None:
            needed = {(s.worker_id, index) for s in seats for index in s.accelerators}
            return [job for job in chosen if needed & held_by(job)]
    return []


def victim_order(
    board: JobBoard, job: Job, now: float
) -> tuple[bool, int, bool, float, str]:
    """Return the order of victims: stopping ones, never preempted, least work lost."""
    stopping = job.lifecycle.state == "stopping"
    urgent = job.record.spec.work_class in board.urgent_classes
    work = (now - job.started) * max(len(held_by(job)), 1)
    record = job.record
    return (not stopping, record.preemptions, urgent, work, record.job_id)


def fits_home(board: JobBoard, spec: JobSpec) -> bool:
    """Return whether the gang fits beside the organisation's own work at home."""
    own = [
        job
        for job in board.jobs.values()
        if job.record.spec.organisation == spec.organisation
    ]
    used = {held for job in own for held in held_by(job)}
    room = _home_room(board, spec.organisation)
    for worker_id, free in room.free.items():
        left = tuple(index for index in free if (worker_id, index) not in used)
        room.free[worker_id] = left
    return place_gang(room, spec.size) is not None


def borrowers_of(board: JobBoard, organisation: str) -> list[Job]:
    """Return the jobs of others that run in the organisation's guarantee."""
    return [
        job
        for job in board.jobs.values()
        if job.record.spec.organisation != organisation
        and any(board.plan.owner(*held) == organisation for held in held_by(job))
    ]


def calling_organisations(board: JobBoard, waiting: Iterable[Job]) -> frozenset[str]:
    """Return the organisations with a waiting job that fits their guarantee."""
    organisations = {p.organisation for p in board.plan.homes}
    return frozenset(
        job.record.spec.organisation
        for job in waiting
        if job.record.spec.organisation in organisations
        and job.record.spec.accelerators
        and fits_home(board, job.record.spec)
    )


def placed_cause(board: JobBoard, job: Job) -> Cause:
    """Return on whose accelerators a job was placed."""
    held = held_by(job)
    if not held:
        return Cause.PLAIN
    homes = {board.plan.owner(*accelerator) for accelerator in held}
    if homes == {job.record.spec.organisation}:
        return Cause.OWN_GUARANTEE
    if homes <= {"", job.record.spec.organisation}:
        return Cause.SPARE
    return Cause.BORROWED


def held_by(job: Job) -> set[tuple[str, int]]:
    """Return the accelerators that a job's members have seats on."""
    return {
        (member.seat.worker_id, index)
        for member in job.members.values()
        for index in member.seat.accelerators
    }


def _home_room(board: JobBoard, organisation: str) -> Room:
    """Return the whole guarantee of an organisation, whoever holds it."""
    fleet, plan = board.fleet, board.plan
    room = Room(racks=fleet.racks())
    for worker_id in fleet.usable:
        count = fleet.workers[worker_id].accelerators
        room.free[worker_id] = tuple(
            index
            for index in range(count)
            if plan.owner(worker_id, index) == organisation
        )
    return room


def _room_without(board: JobBoard, organisation: str, victims: list[Job]) -> Room:
    """Return the guarantee's accelerators that are free or held by the victims."""
    freed = {held for job in victims for held in held_by(job)}
    room = _home_room(board, organisation)
    for worker_id, indices in room.free.items():
        free = set(board.fleet.free(worker_id))
        room.free[worker_id] = tuple(
            index for index in indices if index in free or (worker_id, index) in freed
        )
    return room
