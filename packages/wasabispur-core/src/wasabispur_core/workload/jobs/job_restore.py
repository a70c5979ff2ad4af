"""Restore jobs from the progress that a former owner stored."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from ...command import Command, WriteLog
from ...log_event import JOB_HELD
from ..owner.fleet_state import FleetState
from ..rows import pack
from .job import Job, StoredProgress
from .job_lifecycle import cancel_units, create_unit
from .job_steps import begin_steps, close_if_completed, drop_page, ready_steps
from .occurrence import Occurrence, page_of, PAGE_UNITS, PageId, StepState, unit_count
from .progress import JobProgress, MemberRecord, UnitPage, UnitRecord
from .unit import (
    ACTIVE,
    BLOCKED,
    CANCELLING,
    COMPLETED,
    FAILED,
    STOPPING,
    Unit,
    UnitId,
    UnitMember,
    WorkerRef,
)
from .unit_event import index_unit

Pages = dict[PageId, UnitPage]

RUNNING_STATES = frozenset((ACTIVE, STOPPING, CANCELLING))


def restore_job(
    job: Job, stored: StoredProgress, state: FleetState, now: float
) -> list[Command]:
    """Restore a job's occurrences and units, or hold the job if that can't be done."""
    progress = stored.progress
    job.rows.pages = set(stored.pages)
    pages = _readable_pages(stored, state)
    if progress is None or (pages is None and not progress.state.ended):
        job.held = True
        fields = {"job": job.spec.job_id}
        return [WriteLog(number=JOB_HELD.number, fields=fields)]
    job.state = progress.state
    job.ended_at = progress.ended_at
    job.rows.progress = pack(progress)
    job.terms.accepted = job.spec.terms or progress.terms
    _restore_occurrences(job, progress, pages or {}, state, now)
    for page in sorted(stored.pages):
        if page.occurrence not in job.open_occurrences:
            drop_page(page, job, state)
    if progress.units:
        # The next write of the job's own row leaves out its units.
        job.rows.dirty_pages.update(
            page for page in pages or () if page.occurrence in job.open_occurrences
        )
        state.dirty_jobs.add(job.spec.job_id)
    if job.state.ended:
        # The former owner may have ended before it stored the stop of each unit.
        cancel_units(job, state, now)
    return []


def _readable_pages(stored: StoredProgress, state: FleetState) -> Pages | None:
    """Return all pages, or None if a row or a state in it is unknown."""
    pages: Pages = {}
    for page_id, page in stored.pages.items():
        if page is None:
            return None
        pages[page_id] = page
    unpaged = stored.progress.units if stored.progress is not None else ()
    records = [*unpaged, *(record for page in pages.values() for record in page.units)]
    if not all(state.unit_chart.has_state(record.state) for record in records):
        return None
    return pages | _pages_of(unpaged)


def _restore_occurrences(
    job: Job, progress: JobProgress, pages: Pages, state: FleetState, now: float
) -> None:
    """Restore the occurrences that are not completed.

    The pages of one may have been stored before the job's own row counted it.
    """
    begun = {page.occurrence for page in pages}
    numbers = set(progress.open_occurrences)
    numbers |= {number for number in begun if number >= progress.occurrences}
    job.occurrences = max([progress.occurrences, *(number + 1 for number in numbers)])
    by_occurrence: dict[int, Pages] = {number: {} for number in numbers}
    for page_id in sorted(pages):
        if page_id.occurrence in by_occurrence:
            by_occurrence[page_id.occurrence][page_id] = pages[page_id]
    for number in sorted(numbers):
        _restore_occurrence(job, number, by_occurrence[number], state, now)


def _pages_of(records: Iterable[UnitRecord]) -> Pages:
    """Return the pages of the units in a job's row that has no pages yet.

    The units that wait for an earlier step are created once it is completed.
    """
    pages: Pages = {}
    for record in records:
        if record.state == BLOCKED:
            continue
        page_id = page_of(record.occurrence, record.step, record.index)
        page = pages.get(page_id, UnitPage())
        if record.state == COMPLETED:
            bit = 1 << record.index % PAGE_UNITS
            pages[page_id] = replace(page, completed=page.completed | bit)
        else:
            pages[page_id] = replace(page, units=(*page.units, record))
    return pages


def _restore_occurrence(
    job: Job, number: int, pages: Pages, state: FleetState, now: float
) -> None:
    """Restore the steps of an occurrence, and begin those that may begin."""
    occurrence = job.open_occurrences[number] = Occurrence()
    for page_id, page in pages.items():
        if page_id.step < len(job.spec.steps):
            step_state = occurrence.steps.setdefault(page_id.step, StepState())
            _restore_page(job, page_id, page, step_state, state, now)
    if job.state.ended:
        return
    for step, step_state in occurrence.steps.items():
        if step_state.completed == unit_count(job.spec.steps[step]):
            occurrence.completed_steps.add(step)
        else:
            _create_missing_units(job, number, step, state, now)
            job.unfilled.append((number, step))
    steps = range(len(job.spec.steps))
    begin_steps(job, number, ready_steps(job, number, steps))
    close_if_completed(job, number, state)


def _restore_page(
    job: Job,
    page_id: PageId,
    page: UnitPage,
    step_state: StepState,
    state: FleetState,
    now: float,
) -> None:
    count = unit_count(job.spec.steps[page_id.step])
    first = page_id.number * PAGE_UNITS
    for position in range(first, min(first + PAGE_UNITS, count)):
        if page.completed >> position - first & 1:
            step_state.complete(position)
            step_state.created = position + 1
            job.begun = True
    for record in page.units:
        if record.index < count:
            _restore_unit(job, page_id, record, state, now)
            step_state.created = max(step_state.created, record.index + 1)
            step_state.unplaced += record.run == 0


def _create_missing_units(
    job: Job, number: int, step: int, state: FleetState, now: float
) -> None:
    """Create the units whose page the former owner had yet to store.

    None of them has been started, as orders are stored after the pages.
    """
    step_state = job.open_occurrences[number].steps[step]
    for position in range(step_state.created):
        unit_id = UnitId(job.spec.job_id, number, step, position)
        if unit_id not in job.units and not step_state.is_completed(position):
            create_unit(unit_id, job, state, now)


def _restore_unit(
    job: Job, page_id: PageId, record: UnitRecord, state: FleetState, now: float
) -> None:
    """Restore a unit, or the members of a gang that a later page contains.

    The record has only the latest checkpoint, which also becomes start_checkpoint, the
    one from which the current run started.
    """
    unit_id = UnitId(job.spec.job_id, record.occurrence, record.step, record.index)
    members = [_restore_member(member, state, now) for member in record.members]
    unit = job.units.get(unit_id)
    if unit is None:
        if page_id != page_of(*unit_id[1:]):
            # The gang's first page, which is stored last, is missing.
            return
        unit = job.units[unit_id] = Unit(
            unit_id=unit_id,
            step=job.spec.steps[record.step],
            lifecycle=state.unit_chart.resume(record.state),
            run=record.run,
            failures=record.failures,
            run_failed=record.run_failed,
            checkpoint=record.checkpoint,
            start_checkpoint=record.checkpoint,
            crashes=record.crashes,
            unknown_ends=record.unknown_ends,
            preemptions=record.preemptions,
            ready_at=now,
            state_since=now,
        )
        unit.set_members(members)
    else:
        unit.crashes = unit.crashes.combined(record.crashes)
        unit.unknown_ends += record.unknown_ends
        if record.run == unit.run:
            unit.set_members(unit.members + members)
            if unit.state in RUNNING_STATES and record.state not in RUNNING_STATES:
                _end_recorded_run(unit, record, state)
    job.begun |= unit.run > 0
    job.failed |= unit.state == FAILED
    index_unit(unit, unit.members_by_worker, state)


def _end_recorded_run(unit: Unit, record: UnitRecord, state: FleetState) -> None:
    """Take over the end of a gang's run from a page that is newer than the first one.

    No worker lists an end again that another owner has applied to the last member, so
    that nothing else would end the run.
    """
    unit.lifecycle = state.unit_chart.resume(record.state)
    unit.failures = record.failures
    unit.run_failed = record.run_failed
    unit.checkpoint = unit.start_checkpoint = record.checkpoint
    for member in unit.members:
        member.ended = True


def _restore_member(record: MemberRecord, state: FleetState, now: float) -> UnitMember:
    worker_ref = WorkerRef(worker_id=record.worker_id, incarnation=record.incarnation)
    return UnitMember(
        index=record.index,
        worker_ref=worker_ref,
        ended=record.ended,
        started_at=_started_at(record, state, now),
        broken=record.broken,
    )


def _started_at(record: MemberRecord, state: FleetState, now: float) -> float:
    """Return the time at which a recorded run was ordered, on this process's clock.

    The record has it on the store's clock, and store_offset is the store's clock minus
    this process's clock.
    """
    if not record.started_at:
        return now
    return min(record.started_at - state.store_offset, now)
