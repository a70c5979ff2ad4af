"""Decide which urgent jobs their organisation's guarantee covers.

The shard's owner uses this for the planner, which places and protects guaranteed jobs
before all others.
"""

from __future__ import annotations

from ..owner.fleet_state import FleetState
from .job import Job
from .occurrence import open_tasks


def guaranteed_jobs(state: FleetState) -> set[str]:
    """Return the ids of the urgent jobs that their organisation's guarantee covers.

    A guarantee covers whole jobs in the order of their acceptance, as long as their
    total demand does not exceed the guaranteed accelerators. No job overtakes one that
    the guarantee could cover by itself: it would lose its cover to that one as soon as
    another job ends, after work has been stopped for it.
    """
    needed: dict[str, int] = {}
    blocked: set[str] = set()
    covered: set[str] = set()
    for job in sorted(state.jobs.values(), key=lambda job: job.spec.accepted_at):
        terms = state.terms(job)
        if terms is None or terms.priority != 0 or job.state.ended:
            continue
        name = job.spec.organisation
        guarantee = state.policy.guaranteed_accelerators(name)
        need = _accelerators_needed(job, guarantee)
        if name in blocked or need > guarantee:
            continue
        total = needed.get(name, 0) + need
        if total <= guarantee:
            needed[name] = total
            covered.add(job.spec.job_id)
        else:
            blocked.add(name)
    return covered


def _accelerators_needed(job: Job, limit: int) -> int:
    """Return the maximum number of accelerators that the job needs at a time.

    Any number over the limit stands for the need of a job that exceeds it.
    """
    steps = [
        (number, step)
        for number, step in enumerate(job.spec.steps)
        if step.demand.accelerators
    ]
    total = 0
    for occurrence in job.open_occurrences.values():
        needs = (
            open_tasks(step, occurrence.steps.get(number)) * step.demand.accelerators
            for number, step in steps
        )
        total += max(needs, default=0)
        if total > limit:
            break
    return total
