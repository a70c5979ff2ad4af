"""Apply agents' reports on workers, and reconcile them with the ordered runs.

The entry instance that owns the shard does this, and records the ended runs.
"""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatch

from ...command import Command, WriteLog
from ...log_event import REPORT_IGNORED, WORKER_STATE_READ
from ..jobs.crash_attribution import attribute_crash, begun_runs_in
from ..jobs.spec import TaskId
from ..jobs.unit import RunEnded, Unit, UnitId, UnitMember, UnknownEndLearned
from ..jobs.unit_lifecycle import end_run, learn_end
from ..owner.fleet_state import FleetState
from ..run_times.run_forecast import compare_progress
from ..run_times.speed_sample import observe_progress
from .fleet_health import apply_health, apply_restart, note_progress
from .lost_run import (
    apply_recorded_incarnation,
    end_runs_of_former_incarnations,
    remove_replaced_workers,
)
from .reported_worker import new_worker, Worker
from .unlisted_run import learn_unlisted_ends
from .worker import (
    EndedRun,
    EndKind,
    is_later_incarnation,
    ListedRun,
    RefusedRun,
    ReportArrived,
    WorkerInfo,
    WorkerReport,
    WorkerState,
)
from .worker_trust import suspect_stalled, update_trust


def apply_report(
    message: ReportArrived, state: FleetState, now: float
) -> list[Command]:
    """Update the state of a worker and apply the ended runs that it lists."""
    report = message.report
    worker_id = report.info.worker_id
    worker = state.workers.get(worker_id)
    if worker is not None and message.version < worker.report_version:
        return []
    commands: list[Command] = []
    replacement_possible = True
    if worker is None:
        worker = state.workers[worker_id] = new_worker(report)
        commands.append(_log_worker(report))
        worker.seen_at = state.unreported_since.pop(worker_id, now)
        worker.begun_runs = begun_runs_in(report)
        apply_recorded_incarnation(worker, state)
        if worker.info.incarnation != report.info.incarnation:
            return commands + _ignore_report(report, worker)
        commands += end_runs_of_former_incarnations(
            worker, report.info.incarnation, state, now
        )
    elif is_later_incarnation(worker.info.incarnation, report.info.incarnation):
        return _ignore_report(report, worker)
    elif worker.info.incarnation != report.info.incarnation:
        worker.begun_runs = begun_runs_in(report)
        commands += end_runs_of_former_incarnations(
            worker, report.info.incarnation, state, now
        )
        worker.acknowledged = 0
        apply_restart(worker, now)
        state.worker_speeds.restart(worker_id, now)
        commands.append(_log_worker(report))
    else:
        location = report.agent_id, report.info.address
        replacement_possible = worker.location != location
    if worker.info.state != report.info.state:
        commands.append(_log_worker(report))
    differs = worker.cordoned != report.cordoned
    worker.cordoned = report.cordoned
    if report.info.cold_left:
        worker.cold_until = now + report.info.cold_left
    apply_health(worker, report, now)
    if differs or not worker.confirmed or _offers_differ(worker.info, report.info):
        state.capacity_changed = True
        state.view.changed_workers.add(worker_id)
    worker.agent_id = report.agent_id
    worker.info = report.info
    if report.info.state is not WorkerState.UNREACHABLE:
        # A worker that can't be reached leaves if it had announced that.
        worker.leaving = report.info.state is not WorkerState.READY
    worker.report_version = message.version
    if worker.session != report.session:
        # The agent starts nothing from orders of a former session.
        worker.session = report.session
        state.dirty_workers.add(worker_id)
    worker.confirmed |= state.active
    worker.seen_at = now
    worker.runs = report.runs
    worker.begun_runs = begun_runs_in(report)
    if replacement_possible:
        if state.active:
            # A new owner waits until it knows which runs end with the former worker.
            commands += remove_replaced_workers(state, now)
        # The worker's row may still contain orders for a former incarnation.
        state.dirty_workers.add(worker_id)
    if not state.active or worker_id not in state.workers:
        return commands
    return commands + reconcile(worker, report, state, now)


def _ignore_report(report: WorkerReport, worker: Worker) -> list[Command]:
    """Ignore a report on a former incarnation, which says nothing of the later one.

    An agent that was restarted may receive a delayed heartbeat of a former incarnation
    first. If instead the worker's clock was set back, the later incarnation is silent
    from then on, and the worker is removed after the lease horizon.
    """
    incarnation = report.info.incarnation
    if worker.ignored_incarnation == incarnation:
        return []
    worker.ignored_incarnation = incarnation
    fields = {
        "worker": worker.worker_id,
        "incarnation": incarnation,
        "known": worker.info.incarnation,
        "agent": report.agent_id,
        "state": report.info.state.value,
    }
    return [WriteLog(number=REPORT_IGNORED.number, fields=fields)]


def _offers_differ(known: WorkerInfo, reported: WorkerInfo) -> bool:
    """Return whether a worker offers other capacity or accepts other units.

    What changes with each heartbeat is not compared.
    """
    present = replace(known, sequence=reported.sequence, cold_left=reported.cold_left)
    return present != reported


def reconcile(
    worker: Worker, report: WorkerReport, state: FleetState, now: float
) -> list[Command]:
    """Reconcile a report with the runs that are ordered on the worker."""
    commands: list[Command] = []
    may_acknowledge = True
    for ended in sorted(report.ended, key=lambda end: end.number):
        if ended.number <= worker.acknowledged:
            continue
        commands += _apply_run_end(ended, worker, state, now)
        # Numbers are acknowledged in order, and ends are applied once however often
        # they are listed.
        may_acknowledge = may_acknowledge and not state.is_held(ended.task)
        if may_acknowledge:
            worker.acknowledged = ended.number
            state.dirty_workers.add(worker.worker_id)
    for refused in report.refused:
        commands += _apply_run_end(refused, worker, state, now)
    unknown_runs = tuple(
        run for run in report.runs if not _is_expected(run, worker, state)
    )
    if unknown_runs != worker.unknown_runs:
        worker.unknown_runs = unknown_runs
        state.capacity_changed = True
        state.mark_worker(worker.worker_id)
    if report.listing != worker.listing:
        worker.listing = report.listing
        _update_progress(worker, state, now)
        commands += learn_unlisted_ends(worker, report, state, now)
    return commands + suspect_stalled(worker, state, now)


def _apply_run_end(
    reported: EndedRun | RefusedRun, worker: Worker, state: FleetState, now: float
) -> list[Command]:
    found = _find_member(reported.task, reported.run, worker, state)
    if found is None:
        return _learn_reported_end(reported, worker, state, now)
    unit, member = found
    ended = attribute_crash(
        _run_ended(reported, member.index), member, worker, state, now
    )
    commands = update_trust(worker, unit, ended.kind, state, now, ended.reason)
    return commands + end_run(unit, ended, worker.worker_id, state, now)


def _learn_reported_end(
    reported: EndedRun | RefusedRun, worker: Worker, state: FleetState, now: float
) -> list[Command]:
    """Apply an end that was recorded as unknown, and that the worker lists now."""
    found = _find_unit(reported.task, state)
    if found is None:
        return []
    unit, position = found
    for end in unit.unknown_ends:
        if (end.index, end.run) != (position, reported.run):
            continue
        if (end.worker_id, end.incarnation) != worker.identity:
            continue
        kind = _run_ended(reported, end.index).kind
        commands = update_trust(worker, unit, kind, state, now)
        learned = UnknownEndLearned(end=end, kind=kind)
        return commands + learn_end(unit, learned, state, now)
    return []


@singledispatch
def _run_ended(reported: EndedRun | RefusedRun, index: int) -> RunEnded:
    """Return the end of a member's run that a report contains."""
    raise TypeError(f"{type(reported).__name__} is no reported end")


@_run_ended.register
def _(reported: EndedRun, index: int) -> RunEnded:
    return RunEnded(index=index, kind=reported.kind, checkpoint=reported.checkpoint)


@_run_ended.register
def _(reported: RefusedRun, index: int) -> RunEnded:
    kind = EndKind.CRASHED if reported.crashed else EndKind.REFUSED
    return RunEnded(
        index=index,
        kind=kind,
        reason=reported.reason,
        uncertain=reported.uncertain,
    )


def _find_member(
    task: str, run: int, worker: Worker, state: FleetState
) -> tuple[Unit, UnitMember] | None:
    """Return the unit and member of a run on a worker, if the run has not ended."""
    found = _find_unit(task, state)
    if found is None:
        return None
    unit, position = found
    member = unit.member(position)
    if unit.run != run or member is None or member.ended:
        return None
    reference = member.worker_ref
    if (reference.worker_id, reference.incarnation) != worker.identity:
        return None
    return unit, member


def _find_unit(task: str, state: FleetState) -> tuple[Unit, int] | None:
    """Return the unit of a task, if it is not completed, and the task's position."""
    try:
        task_id = TaskId.parse(task)
    except ValueError:
        return None
    job = state.jobs.get(task_id.job_id)
    if job is None or not 0 <= task_id.step < len(job.spec.steps):
        return None
    gang = job.spec.steps[task_id.step].gang
    position = 0 if gang else task_id.position
    unit = job.units.get(UnitId(*task_id[:3], position))
    return (unit, task_id.position) if unit is not None else None


def _is_expected(run: ListedRun, worker: Worker, state: FleetState) -> bool:
    return _find_member(run.task, run.run, worker, state) is not None


def _update_progress(worker: Worker, state: FleetState, now: float) -> None:
    """Apply the checkpoints and the progress of the runs that a worker lists."""
    units: dict[UnitId, Unit] = {}
    for run in worker.runs:
        found = _find_member(run.task, run.run, worker, state)
        if found is None:
            continue
        unit, member = found
        listed_before = member.progress.listed_at is not None
        if listed_before and run.percent > member.progress.percent:
            note_progress(worker, unit, member.started_at, now)
        member.progress.update(run.percent, run.idle, now)
        if not member.progress.sampled:
            observe_progress(worker, unit, member, state, now)
        units[unit.unit_id] = unit
        if run.idle:
            state.view.changed_units.add(unit.unit_id)
        if run.checkpoint and unit.step.checkpointing:
            unit.checkpoint = run.checkpoint
            unit.stored_row = None
    for unit in units.values():
        compare_progress(unit, state, now)


def _log_worker(report: WorkerReport) -> Command:
    info = report.info
    fields = {
        "worker": info.worker_id,
        "incarnation": info.incarnation,
        "agent": report.agent_id,
        "data_centre": info.data_centre,
        "state": info.state.value,
    }
    return WriteLog(number=WORKER_STATE_READ.number, fields=fields)
