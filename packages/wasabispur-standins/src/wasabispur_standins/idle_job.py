"""Find jobs that have nothing running while enough workers are idle."""

from __future__ import annotations

from dataclasses import dataclass, field

from wasabispur_core.workload.jobs.job import Job
from wasabispur_core.workload.jobs.spec import NO_RESOURCES, Resources
from wasabispur_core.workload.jobs.unit import Unit, WAITING
from wasabispur_core.workload.owner.fleet_state import FleetState

LOST_AFTER = 3.0
"""Seconds without a run, beside enough idle workers, after which a job is lost."""

USED_SHARE_LIMIT = 0.5
"""Used share of each resource from which on the workers count as busy."""

ROOM_FACTOR = 2
"""How often a unit has to fit into the free resources of the workers."""


@dataclass(slots=True)
class IdleJobs:
    """Represent the jobs without a run, with the time since which each has none."""

    since: dict[str, float] = field(default_factory=dict)

    def update(self, state: FleetState, now: float) -> dict[str, float]:
        """Return for how many seconds each such job has had nothing running."""
        free = {
            worker.worker_id: worker.info.capacity - state.allocated(worker)
            for worker in state.workers.values()
        }
        idle: set[str] = set()
        if _is_quiet(state, free):
            idle = {
                job_id
                for job_id, job in state.jobs.items()
                if not job.state.ended and _has_idle_unit(job, free)
            }
        self.since = {job_id: self.since.get(job_id, now) for job_id in idle}
        return {job_id: now - since for job_id, since in self.since.items()}


def _is_quiet(state: FleetState, free: dict[str, Resources]) -> bool:
    total = left = NO_RESOURCES
    for worker in state.workers.values():
        total += worker.info.capacity
        left += free[worker.worker_id]
    return all(
        unused >= (1 - USED_SHARE_LIMIT) * each
        for unused, each in (
            (left.cpu, total.cpu),
            (left.memory, total.memory),
            (left.accelerators, total.accelerators),
        )
    )


def _has_idle_unit(job: Job, free: dict[str, Resources]) -> bool:
    """Return whether the job runs nothing, and a unit of it fits often enough."""
    units = [unit for unit in job.units.values() if unit.state == WAITING]
    if len(units) < len(job.units) or not units:
        return False
    return any(_fits_often(unit, free) for unit in units[:1])


def _fits_often(unit: Unit, free: dict[str, Resources]) -> bool:
    needed = ROOM_FACTOR * unit.size
    room = sum(unit.demand.count_in(left, needed) for left in free.values())
    return room >= needed
