"""Reserve accelerators for waiting gangs, and backfill them with shorter jobs.

The scheduler of the shard's owner keeps the reservations in memory only.
"""

from __future__ import annotations

from dataclasses import dataclass

from .job import Job, SchedulerState
from .job_run_time import job_kind
from .placement import free_capacity, FreeCapacity, place_gang
from .reclaim import assigned_accelerators

RESERVATION_LIMIT = 1
"""Maximum number of waiting gangs with a reservation."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Describe the accelerators that are reserved for a waiting gang.

    expected_start is the time at which all of them are expected to be free.
    """

    job_id: str
    accelerators: frozenset[tuple[str, int]]
    expected_start: float

    def allows(self, end: float) -> bool:
        """Return whether a job with this expected end may use the accelerators."""
        return end <= self.expected_start


def find_reservation(
    scheduler: SchedulerState, job: Job, now: float
) -> Reservation | None:
    """Return the earliest reservation that fits the gang as jobs end, or None."""
    spec = job.record.spec
    taken = {held for other in scheduler.reservations for held in other.accelerators}
    reclaiming = scheduler.reclaiming - {spec.organisation}
    taken |= {
        held
        for held, allocation in scheduler.plan.owners.items()
        if allocation in reclaiming
    }
    capacity = free_capacity(
        scheduler.fleet, lambda worker, index: (worker, index) not in taken
    )
    ends = sorted(
        (expected_end(scheduler, other, now), other.record.job_id, other)
        for other in scheduler.jobs.values()
        if other.members
    )
    needed = spec.tasks * spec.accelerators
    for end, _, other in ends:
        _add_freed(scheduler, capacity, assigned_accelerators(other) - taken)
        if sum(map(len, capacity.free.values())) < needed:
            continue
        assignments = place_gang(capacity, spec.size)
        if assignments is not None:
            held = (
                (s.worker_id, index) for s in assignments for index in s.accelerators
            )
            return Reservation(job.record.job_id, frozenset(held), end)
    return None


def expected_end(scheduler: SchedulerState, job: Job, now: float) -> float:
    """Return when a placed job is expected to end."""
    if job.lifecycle.state == "stopping":
        return now
    elapsed = now - job.started
    forecast = scheduler.run_times.forecast(job_kind(job.record))
    return now + forecast.remaining_median(elapsed)


def add_reservation(scheduler: SchedulerState, job: Job, now: float) -> None:
    """Reserve accelerators for a waiting gang within the reservation limit.

    Each pass over the queue computes the reservations again, because the expected
    ends of running jobs move when the jobs overrun.
    """
    if len(scheduler.reservations) >= RESERVATION_LIMIT:
        return
    if not job.record.spec.accelerators:
        return
    reservation = find_reservation(scheduler, job, now)
    if reservation is not None:
        scheduler.reservations.append(reservation)


def reserved_for_others(
    scheduler: SchedulerState, job: Job, now: float
) -> frozenset[tuple[str, int]]:
    """Return the reserved accelerators that a job must not use."""
    end = now + scheduler.run_times.expected(job_kind(job.record))
    closed: set[tuple[str, int]] = set()
    for reservation in scheduler.reservations:
        own = reservation.job_id == job.record.job_id
        if not own and not reservation.allows(end):
            closed |= reservation.accelerators
    return frozenset(closed)


def _add_freed(
    scheduler: SchedulerState, capacity: FreeCapacity, held: set[tuple[str, int]]
) -> None:
    for worker_id, index in held:
        if worker_id in scheduler.fleet.usable:
            capacity.free[worker_id] = tuple(sorted({*capacity.free[worker_id], index}))
