"""Write the rows that changed through decisions of the shard's owner.

The owner is an entry instance (a front-end process). The rows are the progress of jobs,
the orders for workers (the runs that each worker should have) and the number of waiting
jobs by queue. A unit is the part of a job that is scheduled as a whole, a gang or a
single task.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ..command import Command
from ..ownership import WriteRow
from .fleet_state import FleetState, Job, RemovedJob
from .orders import orders_for
from .progress import JobProgress
from .rows import (
    cancel_key,
    job_key,
    order_key,
    pack,
    progress_key,
    queue_counts_key,
)

ENDED_JOB_RETENTION = 300.0
"""Seconds for which callers can look up an ended job."""


def flush(state: FleetState) -> list[Command]:
    """Write the rows of all jobs and workers that changed, jobs first."""
    commands: list[Command] = []
    for job_id in sorted(state.dirty_jobs):
        job = state.jobs.get(job_id)
        if job is not None:
            value = _progress_row(job, state.store_offset)
            commands.append(WriteRow(key=progress_key(job_id), value=value))
    commands += _write_orders(state)
    state.dirty_jobs.clear()
    state.dirty_workers.clear()
    return commands


def _progress_row(job: Job, store_offset: float) -> dict[str, Any]:
    """Return the progress row of a job, packing only the units that changed.

    A job may have hundreds of units, of which few change between two writes.
    """
    units: list[dict[str, Any]] = []
    for unit in job.units.values():
        if unit.stored_row is None:
            unit.stored_row = pack(unit.record(store_offset))
        units.append(unit.stored_row)
    row = pack(JobProgress(state=job.state, ended_at=job.ended_at))
    return row | {"units": units} if units else row


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

    A job stays while one of its runs may still be active on a worker.
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
        job_id = job.spec.job_id
        del state.jobs[job_id]
        state.removed_jobs[job_id] = RemovedJob(
            accepted_at=job.spec.accepted_at, removed_at=store_time
        )
        for key in (job_key(job_id), cancel_key(job_id), progress_key(job_id)):
            commands.append(WriteRow(key=key, value=None))
    return commands


def write_queue_counts(state: FleetState) -> list[Command]:
    """Write the number of jobs by queue that have not started any run.

    The run number of a unit is 0 until its first run.
    """
    counts: dict[str, int] = {}
    for job in state.jobs.values():
        if (
            not job.state.ended
            and not job.held
            and all(not unit.run for unit in job.units.values())
        ):
            counts[job.spec.queue] = counts.get(job.spec.queue, 0) + 1
    if counts == state.queue_counts:
        return []
    state.queue_counts = counts
    return [WriteRow(key=queue_counts_key(), value=counts)]
