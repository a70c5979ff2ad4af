"""Drive one unit through the unit state chart, and update what is derived from it.

That are the indexes of waiting units and of units by worker, and the pages and rows
that have to be written.
"""

from __future__ import annotations

from ..message import Message
from .fleet_state import FleetState, Job
from .job_steps import changed_pages, complete_unit, pages_of
from .unit import COMPLETED, ENDED_STATES, FAILED, Unit, WAITING

DEFAULT_ATTEMPTS = 1
"""Attempt limit for a task whose queue was removed from the configuration."""


def handle_unit_event(
    unit: Unit, message: Message, state: FleetState, now: float
) -> None:
    """Handle a message in the unit's state chart, and mark the rows to write."""
    job = state.jobs[unit.unit_id.job_id]
    queue = state.queue(job)
    crashes = unit.crashes
    _unindex_members(unit, state)
    unit.lifecycle.handle(message, attempt_limit(job, state), unit, now)
    unit.stored_row = None
    index_members(unit, state)
    same_crashes = unit.crashes is crashes
    pages = changed_pages(message, unit) if same_crashes else pages_of(unit)
    job.dirty_pages.update(pages)
    state.dirty_jobs.add(job.spec.job_id)
    if unit.state in ENDED_STATES and queue and queue.priority == 0:
        state.view.guarantees_changed = True
    job.failed |= unit.state == FAILED
    if unit.state == COMPLETED:
        complete_unit(unit, job, state)


def attempt_limit(job: Job, state: FleetState) -> int:
    """Return the number of attempts after which a unit of the job has failed."""
    queue = state.queue(job)
    return queue.max_attempts if queue else DEFAULT_ATTEMPTS


def _unindex_members(unit: Unit, state: FleetState) -> None:
    state.capacity_changed = True
    for member in unit.members:
        if not member.ended:
            worker_id = member.worker_ref.worker_id
            state.units_by_worker.get(worker_id, set()).discard(unit.unit_id)
            state.mark_worker(worker_id)


def index_members(unit: Unit, state: FleetState) -> None:
    """Add the unit to the indexes that its state asks for."""
    state.view.changed_units.add(unit.unit_id)
    if unit.state == WAITING:
        state.waiting.add(unit.unit_id)
    else:
        state.waiting.discard(unit.unit_id)
    if unit.unknown_ends and unit.state not in ENDED_STATES:
        state.units_with_unknown_ends.add(unit.unit_id)
    else:
        state.units_with_unknown_ends.discard(unit.unit_id)
    for member in unit.members:
        if not member.ended:
            worker_id = member.worker_ref.worker_id
            state.units_by_worker.setdefault(worker_id, set()).add(unit.unit_id)
            state.mark_worker(worker_id)
