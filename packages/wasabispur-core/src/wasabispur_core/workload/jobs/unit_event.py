"""Drive one unit through the unit state chart, and update what is derived from it.

This includes the indexes of waiting units and of units by worker, and the marks on
pages and rows that have to be written.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable

from ...message import Message
from ..owner.fleet_state import FleetState
from .job import Job
from .job_steps import changed_pages, complete_unit, pages_of
from .unit import COMPLETED, ENDED_STATES, FAILED, RunEnded, Unit, WAITING

UNKNOWN_ATTEMPTS = sys.maxsize
"""Attempt limit of a job whose queue is unknown; none of its units is placed."""


def handle_unit_event(
    unit: Unit, message: Message, state: FleetState, now: float
) -> None:
    """Handle a message in the unit's state chart, and mark the rows to write."""
    job = state.jobs[unit.unit_id.job_id]
    terms = state.terms(job)
    former_state, former_crashes = unit.state, unit.crashes
    former_workers = set(unit.members_by_worker)
    unit.lifecycle.handle(message, attempt_limit(job, state), unit, now)
    if unit.state != former_state:
        unit.state_since = now
    unit.stored_row = None
    state.capacity_changed = True
    workers = former_workers.union(unit.members_by_worker)
    pages = changed_pages(message, unit)
    if unit.crashes is not former_crashes:
        pages = pages_of(unit)
    elif isinstance(message, RunEnded) and unit.state == former_state:
        # The end of one of many members changes nothing for the others.
        workers = _workers_of_member(unit, message.index)
    index_unit(unit, workers, state)
    job.rows.dirty_pages.update(pages)
    state.dirty_jobs.add(job.spec.job_id)
    if unit.state in ENDED_STATES and terms and terms.priority == 0:
        state.view.guarantees_changed = True
    job.failed |= unit.state == FAILED
    if unit.state == COMPLETED:
        complete_unit(unit, job, state)


def attempt_limit(job: Job, state: FleetState) -> int:
    """Return the number of attempts after which a unit of the job has failed."""
    terms = state.terms(job)
    return terms.max_attempts if terms else UNKNOWN_ATTEMPTS


def _workers_of_member(unit: Unit, index: int) -> set[str]:
    member = unit.member(index)
    return {member.worker_ref.worker_id} if member is not None else set()


def index_unit(unit: Unit, workers: Iterable[str], state: FleetState) -> None:
    """Update the indexes of units by state and by workers that may have changed."""
    state.view.changed_units.add(unit.unit_id)
    if unit.state == WAITING:
        state.waiting.add(unit.unit_id)
    else:
        state.waiting.discard(unit.unit_id)
    if unit.unknown_ends and unit.state not in ENDED_STATES:
        state.units_with_unknown_ends.add(unit.unit_id)
    else:
        state.units_with_unknown_ends.discard(unit.unit_id)
    for worker_id in workers:
        known = state.units_by_worker.get(worker_id, set())
        if unit.is_open_on(worker_id):
            state.units_by_worker.setdefault(worker_id, known).add(unit.unit_id)
        elif unit.unit_id in known:
            known.discard(unit.unit_id)
        else:
            continue
        if not known:
            del state.units_by_worker[worker_id]
        state.mark_worker(worker_id)
