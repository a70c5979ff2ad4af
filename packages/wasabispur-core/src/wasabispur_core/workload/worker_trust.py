"""Judge workers by how runs end there, and jobs by where their runs fail.

Answers workers that fail all they start: they are free before all others, and would
use up the attempts of whatever waits.
"""

from __future__ import annotations

from ..command import Command, WriteLog
from ..log_event import WORKER_SUSPECTED
from .fleet_state import FleetState, Job, Worker
from .plan import Trust
from .unit import Unit
from .worker import EndKind

FAILURE_LIMIT = 2
"""Units whose runs failed since the last success that make a worker suspected."""

SUSPICION_TIME = 8.0
"""Seconds in which a suspected worker gets nothing, before one unit tries it."""

FAULTY_JOB_WORKERS = 2
"""Workers on which runs of a job failed that make the job the likelier cause."""


def note_end(
    worker: Worker, unit: Unit, kind: EndKind, state: FleetState, now: float
) -> list[Command]:
    """Take the end of a run as evidence about its worker."""
    if kind is EndKind.DONE:
        worker.failed_units.clear()
        worker.suspected_until = 0.0
        return []
    if kind is not EndKind.FAILED:
        return []
    job = state.jobs[unit.unit_id.job_id]
    job.failed_on.add(worker.worker_id)
    worker.failed_units.add(unit.unit_id)
    if len(job.failed_on) >= FAULTY_JOB_WORKERS:
        _clear_workers(job, state)
        return []
    if len(worker.failed_units) < FAILURE_LIMIT:
        return []
    worker.suspected_until = now + SUSPICION_TIME
    fields = {"worker": worker.worker_id, "failures": len(worker.failed_units)}
    return [WriteLog(number=WORKER_SUSPECTED.number, fields=fields)]


def trust_in(worker: Worker, now: float) -> Trust:
    """Return whether a worker gets any units, one on trial, or none."""
    if len(worker.failed_units) < FAILURE_LIMIT:
        return Trust.FULL
    return Trust.NONE if now < worker.suspected_until else Trust.TRIAL


def _clear_workers(job: Job, state: FleetState) -> None:
    """Take back the evidence of a job that fails wherever it runs."""
    for worker in state.workers.values():
        faulty = {
            unit for unit in worker.failed_units if unit.job_id == job.spec.job_id
        }
        worker.failed_units -= faulty
