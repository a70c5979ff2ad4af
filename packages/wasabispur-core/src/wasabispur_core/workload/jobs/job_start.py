"""Start the jobs that the shard's owner has read, and their due occurrences."""

from __future__ import annotations

from ...command import Command
from ..owner.fleet_state import FleetState
from .job import Job
from .job_lifecycle import (
    add_occurrence,
    cancel,
    learn_terms,
    occurrence_count,
    update_job,
)
from .job_restore import restore_job
from .occurrence import NEW_OCCURRENCES_LIMIT, OPEN_OCCURRENCES_LIMIT

OCCURRENCE_MARGIN = 0.05
"""Seconds by which an occurrence starts after its due time, since clocks differ."""


def start_job(job: Job, state: FleetState, now: float) -> list[Command]:
    """Create the job's units, or restore those that a former owner recorded."""
    commands: list[Command] = []
    stored = state.progress.pop(job.spec.job_id, None)
    if stored is not None:
        commands += restore_job(job, stored, state, now)
    commands += learn_terms(job, state, now)
    if state.pending_cancellations.pop(job.spec.job_id):
        return commands + cancel(job, state, now)
    return commands + start_due_occurrences(job, state, now)


def start_due_occurrences(job: Job, state: FleetState, now: float) -> list[Command]:
    """Begin the occurrences that are due, as far as few enough are in progress."""
    if job.state.ended or job.held:
        return []
    room = OPEN_OCCURRENCES_LIMIT - len(job.open_occurrences)
    last = min(
        job.occurrences + min(room, NEW_OCCURRENCES_LIMIT), occurrence_count(job)
    )
    while job.occurrences < last and _occurrence_due(job, state, now):
        add_occurrence(job, state)
    return update_job(job, state, now)


def _occurrence_due(job: Job, state: FleetState, now: float) -> bool:
    if not job.spec.repeats:
        return True
    due = job.spec.start_at + job.occurrences * job.spec.repeat_interval
    return now + state.wall_offset >= due + OCCURRENCE_MARGIN
