"""Judge workers by how runs end there, and jobs by where their runs fail.

Answers workers that fail all they start: they are free before all others, and would
use up the attempts of whatever waits. Answers also workers on which runs stand still.
"""

from __future__ import annotations

from ..command import Command, WriteLog
from ..log_event import WORKER_STALLED, WORKER_SUSPECTED
from .fleet_state import FleetState, Job, Worker
from .plan import Trust
from .unit import Unit
from .worker import EndKind

FAILURE_LIMIT = 2
"""Units whose runs failed since the last success that make a worker suspected."""

SUSPICION_TIMEOUT = 8.0
"""Seconds in which a suspected worker gets nothing, before one unit tries it."""

STALL_TIME = 1.5
"""Seconds without any work of a run after which its worker is suspected."""

STALL_SUSPICION_TIMEOUT = 3.0
"""Seconds after the last sign of a stall in which a worker gets nothing."""

FAULTY_JOB_WORKERS = 2
"""Workers on which runs of a job failed that make the job the likelier cause."""


def update_trust(
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
        _clear_job_failures(job, state)
        return []
    if len(worker.failed_units) < FAILURE_LIMIT:
        return []
    worker.suspected_until = now + SUSPICION_TIMEOUT
    fields = {"worker": worker.worker_id, "failures": len(worker.failed_units)}
    return [WriteLog(number=WORKER_SUSPECTED.number, fields=fields)]


def trust_level(worker: Worker, now: float) -> Trust:
    """Return whether a worker gets any units, one on trial, or none."""
    if now < worker.suspected_until:
        return Trust.NONE
    failed = len(worker.failed_units) >= FAILURE_LIMIT
    return Trust.TRIAL if failed else Trust.FULL


def stalled_for(unit: Unit) -> float:
    """Return the seconds for which a run of the unit has stood still.

    A gang whose members are not all present yet stands still without a fault, and so
    does a filling task that other tasks leave no cpu.
    """
    if unit.step.long_running or unit.step.filling:
        return 0.0
    begun = [one for one in unit.members if not one.ended and one.progress.percent]
    members = begun if unit.step.gang else [m for m in unit.members if not m.ended]
    return max((member.progress.stalled_for for member in members), default=0.0)


def suspect_stalled(worker: Worker, state: FleetState, now: float) -> list[Command]:
    """Give a worker nothing more while runs stand still there."""
    units = [
        state.unit(unit_id)
        for unit_id in state.units_by_worker.get(worker.worker_id, ())
    ]
    stalled = [
        member.progress.stalled_for
        for unit in units
        if unit is not None and stalled_for(unit) >= STALL_TIME
        for member in unit.members
        if member.worker_ref.worker_id == worker.worker_id and not member.ended
    ]
    longest = max(stalled, default=0.0)
    if longest < STALL_TIME:
        return []
    known = now < worker.suspected_until
    worker.suspected_until = max(worker.suspected_until, now + STALL_SUSPICION_TIMEOUT)
    if known:
        return []
    fields = {"worker": worker.worker_id, "stalled": round(longest, 2)}
    return [WriteLog(number=WORKER_STALLED.number, fields=fields)]


def _clear_job_failures(job: Job, state: FleetState) -> None:
    """Take back the evidence of a job that fails wherever it runs."""
    for worker in state.workers.values():
        faulty = {
            unit for unit in worker.failed_units if unit.job_id == job.spec.job_id
        }
        worker.failed_units -= faulty
