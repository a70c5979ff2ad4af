"""Detect faulty workers from failed and stalled runs, at the shard's owner.

A worker that fails every run is always the first one to be free, so it would use up
the attempts of all waiting units. A job whose runs fail on several workers is taken as
the cause itself, and its failures do not count against workers.
"""

from __future__ import annotations

from math import inf

from ...command import Command, WriteLog
from ...log_event import WORKER_STALLED, WORKER_SUSPECTED
from ..agent.run_action import FORMER_ORDERS, LEAVING, UNREACHABLE
from ..jobs.job import Job
from ..jobs.unit import ACTIVE, Unit
from ..owner.fleet_state import FleetState
from ..planning.plan import Trust
from ..policies.cordon import CORDONED
from .reported_worker import Worker
from .worker import EndKind

FAILURE_LIMIT = 2
"""Number of units failed since the last success at which a worker is suspected."""

SUSPICION_TIMEOUT = 8.0
"""Seconds for which a suspected worker gets no unit; then it gets one on trial."""

STALL_TIME = 1.5
"""Seconds without progress of a run after which its worker is suspected."""

STALL_SUSPICION_TIMEOUT = 3.0
"""Seconds after the last observed stall for which a worker gets no unit."""

REFUSAL_LIMIT = 2
"""Starts refused in succession, without a common reason, at which that is a fault."""

COMMON_REFUSALS = frozenset(
    ("room", "old", "late", "fence", CORDONED, LEAVING, UNREACHABLE, FORMER_ORDERS)
)
"""Reasons for which a healthy worker, or its agent, refuses a start."""

FAULTY_JOB_WORKERS = 2
"""Number of workers with failed runs at which the job is taken as the cause."""


def update_trust(
    worker: Worker,
    unit: Unit,
    kind: EndKind,
    state: FleetState,
    now: float,
    reason: str = "",
) -> list[Command]:
    """Update the failures of a worker and of a job by the end of a run.

    reason is the one for which a start was refused.
    """
    started_at = _started_at(unit, worker)
    if kind is EndKind.DONE:
        if not worker.health.checked or worker.health.succeeded(started_at, now):
            restore_trust(worker)
        return []
    if kind is not EndKind.FAILED:
        if kind is EndKind.CRASHED or _is_odd_refusal(unit, kind, reason):
            _note_other_fault(worker, kind, started_at, now)
        return []
    job = state.jobs[unit.unit_id.job_id]
    suspicious = worker.health.checked and worker.health.is_suspicious(now)
    if not suspicious:
        job.failed_on.add(worker.worker_id)
    worker.failed_units.add(unit.unit_id)
    if worker.health.checked:
        worker.health.failed_jobs.add(job.spec.job_id)
    is_job_faulty = len(job.failed_on) >= FAULTY_JOB_WORKERS and not suspicious
    if is_job_faulty and not _is_worker_the_cause(worker, job, unit, started_at):
        _clear_job_failures(job, state)
        return []
    if worker.health.checked:
        worker.health.fault(started_at, now)
    if len(worker.failed_units) < FAILURE_LIMIT and not suspicious:
        return []
    worker.suspected_until = now + SUSPICION_TIMEOUT
    fields = {"worker": worker.worker_id, "failures": len(worker.failed_units)}
    return [WriteLog(number=WORKER_SUSPECTED.number, fields=fields)]


def trust_level(worker: Worker, now: float) -> Trust:
    """Return whether a worker gets any units, one on trial, or none."""
    if now < worker.suspected_until:
        return Trust.NONE
    health = worker.health
    if health.checked:
        # A pass asks for each worker, of which nothing is held against most.
        calm = not health.strikes and not health.downs
        return Trust.FULL if calm else health.trust(now)
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
    units = state.units_on(worker.worker_id)
    stalled = [
        member.progress.stalled_for
        for unit in units
        if stalled_for(unit) >= STALL_TIME
        for member in unit.members
        if member.worker_ref.worker_id == worker.worker_id and not member.ended
    ]
    longest = max(stalled, default=0.0)
    if longest < STALL_TIME:
        return []
    known = now < worker.suspected_until
    if not known:
        _note_stall(worker, units, now)
    worker.suspected_until = max(worker.suspected_until, now + STALL_SUSPICION_TIMEOUT)
    if known:
        return []
    fields = {"worker": worker.worker_id, "stalled": round(longest, 2)}
    return [WriteLog(number=WORKER_STALLED.number, fields=fields)]


def _is_worker_the_cause(
    worker: Worker, job: Job, unit: Unit, started_at: float
) -> bool:
    """Return whether a failure of a job that failed on others counts nevertheless.

    It does if several jobs have failed on the worker, or if tasks of the same step run
    elsewhere for longer than this one did.
    """
    health = worker.health
    if not health.checked:
        return False
    if len(health.failed_jobs) >= FAULTY_JOB_WORKERS:
        return True
    return any(
        other.unit_id[:3] == unit.unit_id[:3]
        and not member.ended
        and member.progress.percent
        and member.started_at < started_at
        and member.worker_ref.worker_id not in job.failed_on
        for other in job.units.values()
        for member in other.members
    )


def _is_odd_refusal(unit: Unit, kind: EndKind, reason: str) -> bool:
    """Return whether no stop, lease or lack of room explains a refused start."""
    return (
        kind is EndKind.REFUSED
        and unit.state == ACTIVE
        and reason not in COMMON_REFUSALS
    )


def _note_other_fault(
    worker: Worker, kind: EndKind, started_at: float, now: float
) -> None:
    """Count a crash or a refusal on a worker that looks down or flaps.

    Otherwise the task may be the cause of a crash, and only refusals in succession
    count.
    """
    health = worker.health
    if not health.checked:
        return
    health.refusals += kind is EndKind.REFUSED
    suspicious = health.is_suspicious(now)
    if not suspicious and health.refusals < REFUSAL_LIMIT:
        return
    health.other_faults += 1
    health.fault(started_at, now)
    if suspicious:
        worker.suspected_until = now + SUSPICION_TIMEOUT


def _note_stall(worker: Worker, units: list[Unit], now: float) -> None:
    """Count a stall as a fault, unless other members of a gang may be the cause.

    The worker is the cause if units of several jobs have stalled or failed there.
    """
    health = worker.health
    if not health.checked:
        return
    stalled = [one for one in units if stalled_for(one) >= STALL_TIME]
    health.failed_jobs.update(one.unit_id.job_id for one in stalled)
    is_cause = len(health.failed_jobs) >= FAULTY_JOB_WORKERS
    is_cause |= health.is_suspicious(now) or any(one.size == 1 for one in stalled)
    if stalled and is_cause:
        health.other_faults += 1
        health.fault(max(_started_at(unit, worker) for unit in stalled), now)


def _started_at(unit: Unit, worker: Worker) -> float:
    """Return when the last run of a unit on a worker was placed there."""
    return max(
        (
            member.started_at
            for member in unit.members
            if member.worker_ref.worker_id == worker.worker_id
        ),
        default=-inf,
    )


def _clear_job_failures(job: Job, state: FleetState) -> None:
    """Remove the failures of a job from all workers, because the job is the cause."""
    for worker in state.workers.values():
        faulty = {
            unit for unit in worker.failed_units if unit.job_id == job.spec.job_id
        }
        worker.failed_units -= faulty
        if faulty and not worker.failed_units and not worker.health.other_faults:
            worker.health.forget_faults()
        if faulty and len(worker.failed_units) < FAILURE_LIMIT:
            # A worker on which runs stall is suspected again by its next list.
            worker.suspected_until = 0.0
