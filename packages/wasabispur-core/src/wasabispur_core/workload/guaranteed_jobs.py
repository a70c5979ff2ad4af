"""Decide which urgent jobs their organisation's guarantee covers.

The shard's owner uses this for the planner, which places and protects guaranteed jobs
before all others.
"""

from __future__ import annotations

from .fleet_state import FleetState, Job
from .unit import ENDED_STATES


def guaranteed_jobs(state: FleetState) -> set[str]:
    """Return the ids of the urgent jobs that their organisation's guarantee covers.

    A guarantee covers whole jobs in the order of their acceptance, as long as their
    total demand does not exceed the guaranteed accelerators.
    """
    needed: dict[str, int] = {}
    covered: set[str] = set()
    for job in sorted(state.jobs.values(), key=lambda job: job.spec.accepted_at):
        queue = state.queue(job)
        if queue is None or queue.priority != 0 or job.state.ended:
            continue
        name = job.spec.organisation
        total = needed.get(name, 0) + _accelerators_needed(job)
        if total <= _guarantee(name, state):
            needed[name] = total
            covered.add(job.spec.job_id)
    return covered


def _accelerators_needed(job: Job) -> int:
    """Return the maximum number of accelerators that the job needs at a time."""
    by_occurrence: dict[int, dict[int, int]] = {}
    for unit in job.units.values():
        if unit.state in ENDED_STATES:
            continue
        steps = by_occurrence.setdefault(unit.unit_id.occurrence, {})
        step = unit.unit_id.step
        need = unit.size * unit.demand.accelerators
        steps[step] = steps.get(step, 0) + need
    return sum(max(steps.values()) for steps in by_occurrence.values())


def _guarantee(organisation: str, state: FleetState) -> int:
    known = state.policy.organisations.get(organisation)
    return known.guaranteed_accelerators if known else 0
