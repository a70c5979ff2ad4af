"""Reserve accelerators for a gang that waits, and let others fill the time."""

from __future__ import annotations

from dataclasses import dataclass

from .job import Job, JobBoard
from .placement import free_room, place_gang, Room
from .reclaim import held_by

RESERVATION_LIMIT = 3
"""Waiting gangs that hold a reservation at the same time."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Hold the accelerators that a waiting gang is to get, and when, at the latest
    expectation."""

    job_id: str
    accelerators: frozenset[tuple[str, int]]
    due: float

    def admits(self, end: float) -> bool:
        """Return whether work that ends by then may use the accelerators."""
        return end <= self.due


def reserve(board: JobBoard, job: Job, now: float) -> Reservation | None:
    """Return the accelerators that the gang gets first as running jobs end."""
    spec = job.record.spec
    taken = {held for other in board.reservations for held in other.accelerators}
    called = board.calling - {spec.organisation}
    taken |= {held for held, home in board.plan.owners.items() if home in called}
    room = free_room(board.fleet, lambda worker, index: (worker, index) not in taken)
    ends = sorted(
        (expected_end(board, other, now), other.record.job_id, other)
        for other in board.jobs.values()
        if other.members
    )
    for end, _, other in ends:
        _give_back(board, room, held_by(other) - taken)
        seats = place_gang(room, spec.size)
        if seats is not None:
            held = ((s.worker_id, index) for s in seats for index in s.accelerators)
            return Reservation(job.record.job_id, frozenset(held), end)
    return None


def expected_end(board: JobBoard, job: Job, now: float) -> float:
    """Return when a placed job is expected to end."""
    if job.lifecycle.state == "stopping":
        return now
    elapsed = now - job.started
    return now + board.run_times.remaining(job.record.spec, elapsed)


def update_reservations(board: JobBoard, waiting: list[Job], now: float) -> None:
    """Keep the reservations that still stand and add those of the first gangs."""
    by_id = {job.record.job_id: job for job in waiting}
    kept = [
        reservation
        for reservation in board.reservations
        if reservation.job_id in by_id
        and all(worker in board.fleet.usable for worker, _ in reservation.accelerators)
    ]
    board.reservations = kept
    reserved = {reservation.job_id for reservation in kept}
    for job in waiting:
        if len(board.reservations) >= RESERVATION_LIMIT:
            return
        if not job.record.spec.accelerators or job.record.job_id in reserved:
            continue
        reservation = reserve(board, job, now)
        if reservation is not None:
            board.reservations.append(reservation)


def closed_to(board: JobBoard, job: Job, now: float) -> frozenset[tuple[str, int]]:
    """Return the reserved accelerators that a job must leave alone."""
    end = now + board.run_times.expect(job.record.spec)
    closed: set[tuple[str, int]] = set()
    for reservation in board.reservations:
        own = reservation.job_id == job.record.job_id
        if not own and not reservation.admits(end):
            closed |= reservation.accelerators
    return frozenset(closed)


def _give_back(board: JobBoard, room: Room, held: set[tuple[str, int]]) -> None:
    for worker_id, index in held:
        if worker_id in board.fleet.usable:
            room.free[worker_id] = tuple(sorted({*room.free[worker_id], index}))
