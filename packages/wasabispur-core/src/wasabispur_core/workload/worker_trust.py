"""Detect faulty workers from failed and stalled runs, at the shard's owner.

A worker that fails every run is always the first one to be free, so it would use up
the attempts of all waiting units. A job whose runs fail on several workers is taken as
the cause itself, and its failures do not count against workers.
"""

from __future__ import annotations

from ..command import Command, WriteLog
from ..log_event import WORKER_STALLED, WORKER_SUSPECTED
from .fleet_state import FleetState, Job, Worker
from .plan import Trust
from .unit import Unit
from .worker import EndKind

FAILURE_LIMIT = 2
"""Number of units failed since the last success at which a worker is suspected."""

SUSPICION_TIMEOUT = 8.0
"""Seconds for which a suspected worker gets no unit; then it gets one on trial."""

STALL_TIME = 1.5
"""Seconds without progress of a run after which its worker is suspected."""

STALL_SUSPICION_TIMEOUT = 3.0
"""Seconds after the last observed stall for which a worker gets no unit."""

FAULTY_JOB_WORKERS = 2
"""Number of workers with failed runs at which the job is taken as the cause."""


def update_trust(
    worker: Worker, unit: Unit, kind: EndKind, state: FleetState, now: float
) -> list[Command]:
    """Update the failures of a worker and of a job by the end of a run."""
    if kind is EndKind.DONE:
        restore_trust(worker)
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
    """Return the longest time in seconds for which a run of the unit has stalled.

    Two cases are no fault and don't count: a gang waits until all its members are
    present, and a filling task waits if other tasks leave it no cpu.
    """
    if unit.step.long_running or unit.step.filling:
        return 0.0
    begun = [one for one in unit.members if not one.ended and one.progress.percent]
    members = begun if unit.step.gang else [m for m in unit.members if not m.ended]
    return max((member.progress.stalled_for for member in members), default=0.0)


def restore_trust(worker: Worker) -> None:
    """Forget the failures of a worker that succeeded or was restarted."""
    worker.failed_units.clear()
    worker.suspected_until = 0.0


def suspect_stalled(worker: Worker, state: FleetState, now: float) -> list[Command]:
    """Suspect a worker while runs stall there, so that it gets no further units."""
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
    """Remove the failures of a job from all workers, because the job is the cause."""
    for worker in state.workers.values():
        faulty = {
            unit for unit in worker.failed_units if unit.job_id == job.spec.job_id
        }
        worker.failed_units -= faulty
        if faulty and len(worker.failed_units) < FAILURE_LIMIT:
            # A worker on which runs stall is suspected again by its next list.
            worker.suspected_until = 0.0
