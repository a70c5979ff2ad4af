"""Begin, continue, cancel and end the jobs at the shard's owner."""

from __future__ import annotations

from ...command import Command, WriteLog
from ...log_event import JOB_ENDED
from ..owner.fleet_state import FleetState
from .job import Job
from .job_steps import begin_occurrence, close_if_completed
from .occurrence import (
    NEW_UNITS_LIMIT,
    OPEN_UNITS_LIMIT,
    unit_count,
    UNPLACED_UNITS_LIMIT,
)
from .progress import JobState
from .unit import ENDED_STATES, Unit, UnitCancelled, UnitId, UnitReady
from .unit_event import handle_unit_event


def cancel(job: Job, state: FleetState, now: float) -> list[Command]:
    """Cancel a job and stop its remaining units."""
    if job.state.ended:
        return []
    job.cancelled = True
    if job.held:
        _release(job, state)
    cancel_units(job, state, now)
    return update_job(job, state, now)


def _release(job: Job, state: FleetState) -> None:
    """Let the runs of a held job be stopped, and their ends be acknowledged."""
    for worker in state.workers.values():
        if any(state.is_held(run.task) for run in worker.unknown_runs):
            state.mark_worker(worker.worker_id)
    job.held = False


def update_job(job: Job, state: FleetState, now: float) -> list[Command]:
    """Create the units that may start, and end a finished job."""
    if job.state.ended:
        return []
    if job.failed:
        return fail_job(job, state, now)
    if job.cancelled:
        return _end_job(job, JobState.CANCELLED, state, now)
    create_units(job, state, now)
    if job.occurrences == occurrence_count(job) and not job.open_occurrences:
        return _end_job(job, JobState.COMPLETED, state, now)
    if job.state is JobState.PENDING and job.begun:
        job.state = JobState.RUNNING
        state.dirty_jobs.add(job.spec.job_id)
    return []


def fail_job(job: Job, state: FleetState, now: float) -> list[Command]:
    """Stop all units of a job that can't be completed, and end it."""
    cancel_units(job, state, now)
    return _end_job(job, JobState.FAILED, state, now)


def learn_terms(job: Job, state: FleetState, now: float) -> list[Command]:
    """Keep what the queue of a job without terms grants, in case it is removed.

    Failures that were counted before may have been all of the attempts.
    """
    if job.terms.accepted is not None or job.held or not state.active:
        return []
    job.terms.accepted = terms = state.terms(job)
    if terms is None:
        return []
    state.dirty_jobs.add(job.spec.job_id)
    exhausted = any(
        unit.failures >= terms.max_attempts and not unit.step.long_running
        for unit in job.units.values()
    )
    return fail_job(job, state, now) if exhausted and not job.state.ended else []


def occurrence_count(job: Job) -> int:
    """Return the total number of the job's occurrences."""
    return max(job.spec.repeats, 1)


def add_occurrence(job: Job, state: FleetState) -> None:
    """Begin the job's next occurrence."""
    number = job.occurrences
    job.occurrences += 1
    begin_occurrence(job, number)
    close_if_completed(job, number, state)
    state.view.guarantees_changed = True
    state.dirty_jobs.add(job.spec.job_id)


def create_units(job: Job, state: FleetState, now: float) -> None:
    """Create units of the steps that have begun, up to the limits."""
    job.creation.renew(state.message_number)
    while (
        job.unfilled
        and job.creation.used < NEW_UNITS_LIMIT
        and len(job.units) < OPEN_UNITS_LIMIT
    ):
        number, step = job.unfilled[0]
        occurrence = job.open_occurrences.get(number)
        # At a limit a step stays in the queue after its last unit was created, so that
        # its occurrence may have been completed since.
        step_state = occurrence.steps[step] if occurrence is not None else None
        if (
            step_state is None
            or step_state.created >= unit_count(job.spec.steps[step])
            or step_state.unplaced >= UNPLACED_UNITS_LIMIT
        ):
            job.unfilled.popleft()
            continue
        unit_id = UnitId(job.spec.job_id, number, step, step_state.created)
        step_state.created += 1
        job.creation.used += 1
        create_unit(unit_id, job, state, now)


def count_placement(unit: Unit, job: Job) -> None:
    """Count the placement of a unit, after which its step may have another one."""
    job.begun = True
    if unit.run > 1:
        return
    _, number, step, _ = unit.unit_id
    step_state = job.open_occurrences[number].steps[step]
    if step_state.unplaced == UNPLACED_UNITS_LIMIT:
        job.unfilled.append((number, step))
    step_state.unplaced -= 1


def create_unit(unit_id: UnitId, job: Job, state: FleetState, now: float) -> None:
    """Create a unit that waits for its first placement."""
    job.open_occurrences[unit_id.occurrence].steps[unit_id.step].unplaced += 1
    unit = job.units[unit_id] = Unit(
        unit_id=unit_id,
        step=job.spec.steps[unit_id.step],
        lifecycle=state.unit_chart.start(),
    )
    handle_unit_event(unit, UnitReady(), state, now)


def cancel_units(job: Job, state: FleetState, now: float) -> None:
    """Stop all units of a job that has been cancelled or has failed."""
    for unit in job.units.values():
        if unit.state not in ENDED_STATES:
            handle_unit_event(unit, UnitCancelled(), state, now)


def _end_job(
    job: Job, end_state: JobState, state: FleetState, now: float
) -> list[Command]:
    job.state = end_state
    job.ended_at = now + state.store_offset
    state.view.guarantees_changed = True
    state.dirty_jobs.add(job.spec.job_id)
    fields = {
        "job": job.spec.job_id,
        "queue": job.spec.queue,
        "organisation": job.spec.organisation,
        "state": end_state.value,
        "took": round(job.ended_at - job.spec.accepted_at, 3),
    }
    return [WriteLog(number=JOB_ENDED.number, fields=fields)]
