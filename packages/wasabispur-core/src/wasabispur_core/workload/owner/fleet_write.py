"""Write the rows that changed through decisions of the shard's owner.

The owner is an entry instance (a front-end process). The rows are the progress of jobs
and their units, the orders for workers (the runs that each worker should have) and the
number of waiting jobs by queue. A unit is the part of a job that is scheduled as a
whole, a gang or a single task.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ...command import Command
from ...sharding.ownership import WriteRow
from ..jobs.job import Job, RemovedJob
from ..jobs.job_steps import drop_page
from ..jobs.occurrence import PAGE_UNITS, PageId
from ..jobs.progress import JobProgress, JobState, UnitPage
from ..jobs.unit import UnitId
from ..rows import (
    cancel_key,
    job_key,
    order_key,
    pack,
    progress_key,
    queue_counts_key,
    unit_page_key,
)
from ..run_times.run_time_row import run_times_key, run_times_row
from ..workers.orders import orders_for
from .fleet_state import FleetState

ENDED_JOB_RETENTION = 300.0
"""Seconds for which callers can look up an ended job."""

REMOVALS_PER_TICK = 40
"""Rows of completed work that one tick removes, so that other writes don't wait."""

RUN_TIMES_INTERVAL = 5.0
"""Least time in seconds between two writes of the row with the learned run times."""


def flush(state: FleetState) -> list[Command]:
    """Write the rows of all jobs and workers that changed, jobs first."""
    commands: list[Command] = []
    for job_id in sorted(state.dirty_jobs):
        job = state.jobs.get(job_id)
        if job is not None:
            commands += _write_progress(job, state.store_offset)
    commands += _write_orders(state)
    state.dirty_jobs.clear()
    state.dirty_workers.clear()
    return commands


def _write_progress(job: Job, store_offset: float) -> Iterator[Command]:
    """Write the changed pages of a job, and its own row if that changed.

    The first page of a gang, which holds its state, is written after the others.
    """
    for page in sorted(job.rows.dirty_pages, reverse=True):
        row = page_row(job, page, store_offset)
        yield WriteRow(key=unit_page_key(job.spec.job_id, page), value=row)
    job.rows.pages |= job.rows.dirty_pages
    job.rows.dirty_pages.clear()
    progress = pack(
        JobProgress(
            state=job.state,
            ended_at=job.ended_at,
            occurrences=job.occurrences,
            open_occurrences=tuple(sorted(job.open_occurrences)),
            terms=job.terms.accepted if job.spec.terms is None else None,
        )
    )
    if progress != job.rows.progress:
        job.rows.progress = progress
        yield WriteRow(key=progress_key(job.spec.job_id), value=progress)


def page_row(job: Job, page: PageId, store_offset: float) -> dict[str, Any]:
    """Return the row of a page, packing only the units that changed."""
    step_state = job.open_occurrences[page.occurrence].steps[page.step]
    mask = step_state.masks.get(page.number, 0)
    units = list(_unit_rows(job, page, store_offset))
    row = pack(UnitPage(completed=mask))
    return row | {"units": units} if units else row


def _unit_rows(job: Job, page: PageId, store_offset: float) -> Iterator[dict[str, Any]]:
    job_id = job.spec.job_id
    if job.spec.steps[page.step].gang:
        unit = job.units.get(UnitId(job_id, page.occurrence, page.step, 0))
        if unit is not None:
            yield pack(unit.record(store_offset, page.number))
        return
    first = page.number * PAGE_UNITS
    for position in range(first, first + PAGE_UNITS):
        unit = job.units.get(UnitId(job_id, page.occurrence, page.step, position))
        if unit is None:
            continue
        if unit.stored_row is None:
            unit.stored_row = pack(unit.record(store_offset))
        yield unit.stored_row


def _write_orders(state: FleetState) -> Iterator[Command]:
    for worker_id in sorted(state.dirty_workers):
        worker = state.workers.get(worker_id)
        if worker is None:
            continue
        orders = orders_for(worker, state)
        if orders == worker.written_orders:
            continue
        worker.written_orders = orders
        yield WriteRow(key=order_key(worker.agent_id, worker_id), value=pack(orders))


def remove_ended(state: FleetState, now: float) -> list[Command]:
    """Remove ended jobs and their rows after the retention time.

    A job stays while one of its runs may still be active on a worker, and until the
    pages of its units are removed: a job without its own row would run again.
    """
    commands: list[Command] = []
    # ended_at is on the store's clock, and store_offset is the store's clock minus this
    # process's clock.
    store_time = now + state.store_offset
    latest_end = store_time - ENDED_JOB_RETENTION
    for job_id, removed in list(state.removed_jobs.items()):
        if removed.removed_at < latest_end:
            del state.removed_jobs[job_id]
    for job in list(state.jobs.values()):
        if not job.state.ended or job.ended_at >= latest_end:
            continue
        if any(unit.may_be_running for unit in job.units.values()):
            continue
        for page in sorted(job.rows.pages):
            drop_page(page, job, state)
        if state.obsolete_rows:
            continue
        job_id = job.spec.job_id
        del state.jobs[job_id]
        state.removed_jobs[job_id] = RemovedJob(
            accepted_at=job.spec.accepted_at, removed_at=store_time
        )
        # Once the job's row is gone, a tombstone may be written for its id, which has to
        # stay; so the cancellation goes first.
        for key in (cancel_key(job_id), job_key(job_id), progress_key(job_id)):
            commands.append(WriteRow(key=key, value=None))
    return commands


def remove_obsolete_rows(state: FleetState) -> list[Command]:
    """Remove some of the rows of completed work."""
    count = min(len(state.obsolete_rows), REMOVALS_PER_TICK)
    keys = [state.obsolete_rows.popleft() for _ in range(count)]
    return [WriteRow(key=key, value=None) for key in keys]


def write_queue_counts(state: FleetState) -> list[Command]:
    """Write the number of jobs by queue that have not started any run.

    Queues that are not configured any more are left out, as nobody can ask for them.
    """
    counts: dict[str, int] = {}
    for job in state.jobs.values():
        waits = job.state is JobState.PENDING and not job.begun and not job.held
        if waits and job.spec.queue in state.policy.queues:
            counts[job.spec.queue] = counts.get(job.spec.queue, 0) + 1
    if counts == state.queue_counts:
        return []
    state.queue_counts = counts
    return [WriteRow(key=queue_counts_key(), value=counts)]


def write_run_times(state: FleetState, now: float) -> list[Command]:
    """Write the learned run times at intervals, if they have changed.

    They are not written before those of a former owner are known.
    """
    model = state.run_times
    if not model.unsaved or not model.stored_known:
        return []
    if now - model.saved_at < RUN_TIMES_INTERVAL:
        return []
    model.unsaved = False
    model.saved_at = now
    return [WriteRow(key=run_times_key(), value=run_times_row(model))]
