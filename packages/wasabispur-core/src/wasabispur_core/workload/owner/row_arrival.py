"""Handle the rows that the scheduler reads, and those that can't be stored."""

from __future__ import annotations

from ...command import Command, WriteLog
from ...log_event import (
    CANCELLATION_READ_BY_OWNER,
    JOB_NOT_STORED,
    JOB_READ_BY_OWNER,
    RUN_TIMES_READ,
    TOMBSTONE_READ,
    TOMBSTONE_REMOVED,
    WORKER_SPEEDS_READ,
)
from ...sharding.ownership import RowRejected
from ..jobs.job import Job, StoredProgress
from ..jobs.job_lifecycle import cancel, fail_job
from ..jobs.job_start import start_job
from ..jobs.spec import JobSpec
from ..rows import job_of_row
from ..run_times.run_time_row import restore_run_times, RunTimesArrived
from ..run_times.speed_update import slow_workers
from ..run_times.worker_speed_row import restore_speeds, WorkerSpeedsArrived
from ..workers.lost_run import remove_report
from ..workers.report_reconciliation import apply_report
from ..workers.worker import ReportArrived
from .fleet_handler import handle_message
from .fleet_message import (
    CancelArrived,
    CancellationRemoved,
    JobArrived,
    ProgressArrived,
    ReportRemoved,
    UnitPageArrived,
)
from .fleet_state import FleetState


@handle_message.register
def _(message: JobArrived, state: FleetState, now: float) -> list[Command]:
    spec = message.spec
    if spec.job_id in state.jobs or _is_removed(spec, state):
        return []
    job = state.jobs[spec.job_id] = Job(spec=spec, arrived_at=now)
    state.view.guarantees_changed = True
    if not state.active:
        return []
    fields = {
        "job": spec.job_id,
        "queue": spec.queue,
        "organisation": spec.organisation,
        "steps": len(spec.steps),
        "tasks": sum(step.count for step in spec.steps),
        "age": round(now + state.store_offset - spec.accepted_at, 3),
    }
    return [
        WriteLog(number=JOB_READ_BY_OWNER.number, fields=fields),
        *start_job(job, state, now),
    ]


@handle_message.register
def _(message: CancelArrived, state: FleetState, now: float) -> list[Command]:
    job = state.jobs.get(message.job_id)
    if job is None or not state.active:
        # If the cancellation was read before its job, it is applied once that arrives.
        known = state.pending_cancellations
        is_new = known.add(message.job_id, message.version, now)
        if not is_new or not state.active:
            return []
        fields = {"job": message.job_id, "kept": len(known.by_job)}
        return [WriteLog(number=TOMBSTONE_READ.number, fields=fields)]
    if job.state.ended:
        return []
    log = WriteLog(
        number=CANCELLATION_READ_BY_OWNER.number, fields={"job": message.job_id}
    )
    return [log, *cancel(job, state, now)]


@handle_message.register
def _(message: CancellationRemoved, state: FleetState, now: float) -> list[Command]:
    if not state.pending_cancellations.pop(message.job_id):
        return []
    kept = len(state.pending_cancellations.by_job)
    fields = {"job": message.job_id, "kept": kept}
    return [WriteLog(number=TOMBSTONE_REMOVED.number, fields=fields)]


@handle_message.register
def _(message: ProgressArrived, state: FleetState, now: float) -> list[Command]:
    if state.active:
        return []
    # Jobs and progress are read concurrently; the job's row may arrive later.
    stored = state.progress.setdefault(message.job_id, StoredProgress())
    stored.progress = message.progress
    return []


@handle_message.register
def _(message: UnitPageArrived, state: FleetState, now: float) -> list[Command]:
    if state.active:
        return []
    stored = state.progress.setdefault(message.job_id, StoredProgress())
    stored.pages[message.page_id] = message.page
    return []


@handle_message.register
def _(message: RunTimesArrived, state: FleetState, now: float) -> list[Command]:
    if not state.owning:
        return []
    restore_run_times(state.run_times, message.stored)
    groups = message.stored.groups
    fields = {"groups": len(groups), "runs": sum(len(one.actual) for one in groups)}
    return [WriteLog(number=RUN_TIMES_READ.number, fields=fields)]


@handle_message.register
def _(message: WorkerSpeedsArrived, state: FleetState, now: float) -> list[Command]:
    speeds = state.worker_speeds
    if not state.owning or not speeds.enabled or speeds.stored_known:
        return []
    restore_speeds(speeds, message.stored, now)
    for worker_id in message.stored.workers:
        state.mark_speed_changed(worker_id)
    speeds.reported = slow_workers(speeds)
    fields = {"workers": len(message.stored.workers), "slow": len(speeds.reported)}
    return [WriteLog(number=WORKER_SPEEDS_READ.number, fields=fields)]


@handle_message.register
def _(message: ReportArrived, state: FleetState, now: float) -> list[Command]:
    return apply_report(message, state, now)


@handle_message.register
def _(message: ReportRemoved, state: FleetState, now: float) -> list[Command]:
    remove_report(message.worker_id, state)
    return []


@handle_message.register
def _(message: RowRejected, state: FleetState, now: float) -> list[Command]:
    job = state.jobs.get(job_of_row(message.key))
    if job is None or job.state.ended:
        return []
    fields = {
        "job": job.spec.job_id,
        "key": message.key,
        "reason": message.reason,
    }
    log = WriteLog(number=JOB_NOT_STORED.number, fields=fields)
    return [log, *fail_job(job, state, now)]


def _is_removed(spec: JobSpec, state: FleetState) -> bool:
    """Return whether the job was removed, and not submitted again since."""
    removed = state.removed_jobs.get(spec.job_id)
    return removed is not None and removed.accepted_at == spec.accepted_at
