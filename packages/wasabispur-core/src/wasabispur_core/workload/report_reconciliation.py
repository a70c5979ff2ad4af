"""Apply agents' reports on workers, and reconcile them with the ordered runs.

The entry instance that owns the shard does this: it records ended runs, and declares
runs lost if their worker was restarted, replaced or silent for the lease horizon.
"""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatch

from ..command import Command, WriteLog
from ..log_event import REPORT_IGNORED, WORKER_LOST, WORKER_STATE_READ
from .fleet_state import FleetState, new_worker, Worker
from .progress import UnknownEnd
from .snapshot import REPORT_AGE_LIMIT
from .spec import TaskId
from .unit import RunEnded, Unit, UnitId, UnitMember, UnknownEndLearned
from .unit_lifecycle import attempt_limit, end_run, learn_end
from .worker import (
    EndedRun,
    EndKind,
    incarnation_sort_key,
    is_later_incarnation,
    ListedRun,
    RefusedRun,
    ReportArrived,
    WorkerInfo,
    WorkerReport,
    WorkerState,
)
from .worker_trust import restore_trust, suspect_stalled, update_trust

RESTARTED = "the worker restarted"
REPLACED = "another worker runs at its address"
REPORT_MISSING = "there is no report on its worker"
NO_REPORT = "no report for the lease horizon"
END_SHOWN_BY_OTHERS = "the other members show its end"

CATCH_UP_TIME = 3.0
"""Seconds without a gap in the reports after which a worker can count as silent."""


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
        _apply_recorded_incarnation(worker, state)
        if worker.info.incarnation != report.info.incarnation:
            return commands + _ignore_report(report, worker)
        commands += end_runs_of_former_incarnations(
            worker, report.info.incarnation, state, now
        )
    elif is_later_incarnation(worker.info.incarnation, report.info.incarnation):
        return _ignore_report(report, worker)
    elif worker.info.incarnation != report.info.incarnation:
        commands += end_runs_of_former_incarnations(
            worker, report.info.incarnation, state, now
        )
        worker.acknowledged = 0
        restore_trust(worker)
        commands.append(_log_worker(report))
    else:
        location = report.agent_id, report.info.address
        replacement_possible = worker.location != location
    if worker.info.state != report.info.state:
        commands.append(_log_worker(report))
    if not worker.confirmed or _offers_differ(worker.info, report.info):
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
    if replacement_possible:
        commands += _remove_replaced_workers(state, now)
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

    The number of its last heartbeat is not compared, as it grows with each of them.
    """
    return replace(known, sequence=reported.sequence) != reported


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
    return commands + suspect_stalled(worker, state, now)


def end_runs_of_former_incarnations(
    worker: Worker, incarnation: str, state: FleetState, now: float
) -> list[Command]:
    """End the runs that a worker had before its restart as the given incarnation."""
    kind = worker.end_of_process
    return end_lost_runs(
        worker.worker_id, RESTARTED, state, now, kind, keep=incarnation
    )


def end_lost_runs(
    worker_id: str,
    reason: str,
    state: FleetState,
    now: float,
    kind: EndKind = EndKind.LOST,
    keep: str = "",
) -> list[Command]:
    """End the runs on a worker, except those of the incarnation to keep.

    The reason is logged with each of them. Former runs there whose end is unknown will
    not be listed any more, and ended in the same way.
    """
    commands: list[Command] = []
    for former, end in _unknown_ends_on(worker_id, state):
        if not keep or end.incarnation != keep:
            learned = UnknownEndLearned(end=end, kind=kind)
            commands += learn_end(former, learned, state, now)
    for unit_id in list(state.units_by_worker.get(worker_id, ())):
        unit = state.unit(unit_id)
        if unit is None:
            continue
        for member in unit.open_members_on(worker_id):
            if keep and member.worker_ref.incarnation == keep:
                continue
            ended = RunEnded(index=member.index, kind=kind, reason=reason)
            commands += end_run(unit, ended, worker_id, state, now)
    return commands


def end_broken_gangs(state: FleetState, now: float) -> list[Command]:
    """End the members on silent workers whose end the other members show.

    A gang whose worker is gone for good runs again without waiting for the lease
    horizon. A worker that still reports lists the end itself, and how it came. No
    worker counts as silent while its reports may be unread. As the end may have been a
    failure, a gang on its last attempt waits.
    """
    if not _reports_are_read(state, now):
        return []
    commands: list[Command] = []
    for worker in state.workers.values():
        if now - worker.seen_at <= REPORT_AGE_LIMIT:
            continue
        for unit_id in list(state.units_by_worker.get(worker.worker_id, ())):
            unit = state.unit(unit_id)
            if unit is None or not unit.shows_end_on(worker.worker_id):
                continue
            attempts = attempt_limit(state.jobs[unit_id.job_id], state)
            if not unit.step.long_running and unit.most_failures + 1 >= attempts:
                continue
            for member in unit.open_members_on(worker.worker_id):
                ended = RunEnded(
                    index=member.index, kind=EndKind.UNKNOWN, reason=END_SHOWN_BY_OTHERS
                )
                commands += end_run(unit, ended, worker.worker_id, state, now)
    return commands


def reconcile_recorded_runs(state: FleetState, now: float) -> list[Command]:
    """End the recorded runs on workers that restarted or were replaced meanwhile.

    Nothing tells whether such a worker had announced that it leaves, so that its end
    counts as a crash: a task that crashes each worker must not gain attempts from the
    loss of an owner. A worker without a report may be alive: the row may be invalid, or
    its agent has yet to write it again. Its runs end after the lease horizon.
    """
    for worker in state.workers.values():
        _apply_recorded_incarnation(worker, state)
    commands = _remove_replaced_workers(state, now)
    crashed = EndKind.CRASHED
    for worker in state.workers.values():
        worker_id, incarnation = worker.worker_id, worker.info.incarnation
        commands += end_lost_runs(
            worker_id, RESTARTED, state, now, crashed, keep=incarnation
        )
    for worker_id in _workers_with_runs(state) - set(state.workers):
        state.unreported_since[worker_id] = now
    return commands


def remove_report(worker_id: str, state: FleetState) -> None:
    """Forget a worker after the removal of its report.

    The removal does not show that the worker's lease is over: another agent may have
    begun to report on it. Its runs end after the lease horizon.
    """
    worker = state.workers.pop(worker_id, None)
    if worker is None:
        return
    state.dirty_workers.discard(worker_id)
    if state.active and worker_id in _workers_with_runs(state):
        state.unreported_since[worker_id] = worker.seen_at


def _workers_with_runs(state: FleetState) -> set[str]:
    """Return the workers with recorded runs, or with ends that are unknown."""
    units = [state.unit(unit_id) for unit_id in state.units_with_unknown_ends]
    former = {
        end.worker_id for unit in units if unit is not None for end in unit.unknown_ends
    }
    return former | {key for key, units in state.units_by_worker.items() if units}


def _apply_recorded_incarnation(worker: Worker, state: FleetState) -> None:
    """Take a later incarnation, on which a run is recorded, for the present one.

    Its runs may be active even if the last report is on a former incarnation.
    """
    for unit_id in state.units_by_worker.get(worker.worker_id, ()):
        unit = state.unit(unit_id)
        if unit is None:
            continue
        for member in unit.open_members_on(worker.worker_id):
            recorded = member.worker_ref.incarnation
            if is_later_incarnation(recorded, worker.info.incarnation):
                worker.info = replace(worker.info, incarnation=recorded)


def remove_silent_workers(state: FleetState, now: float) -> list[Command]:
    """Remove workers without a report for the lease horizon, and end their runs.

    No worker is removed until reports have arrived without a gap for a while, because
    reports written during an outage or a pause may list ends that have yet to be
    applied.
    """
    if not _reports_are_read(state, now):
        return []
    commands: list[Command] = []
    for worker in list(state.workers.values()):
        silent = now - worker.seen_at
        gone = worker.info.state is WorkerState.GONE
        if silent < state.horizon and not (
            gone and not state.units_by_worker.get(worker.worker_id)
        ):
            continue
        commands += _remove_worker(worker, EndKind.LOST, NO_REPORT, state, now)
    for worker_id, since in list(state.unreported_since.items()):
        if now - since >= state.horizon:
            del state.unreported_since[worker_id]
            commands += end_lost_runs(worker_id, REPORT_MISSING, state, now)
    return commands


def _reports_are_read(state: FleetState, now: float) -> bool:
    """Return whether reports have arrived without a gap for the catch-up time."""
    return now - state.reports_since >= CATCH_UP_TIME


def _remove_replaced_workers(state: FleetState, now: float) -> list[Command]:
    """Remove the workers that a later one replaced at the same agent and address."""
    latest: dict[tuple[str, str], Worker] = {}
    commands: list[Command] = []
    for worker in list(state.workers.values()):
        location = worker.location
        other = latest.setdefault(location, worker)
        if other is worker:
            continue
        replaced, latest[location] = sorted((other, worker), key=_age_order)
        if _age_order(replaced) < _age_order(latest[location]):
            kind = replaced.end_of_process
            commands += _remove_worker(replaced, kind, REPLACED, state, now)
    return commands


def _age_order(worker: Worker) -> tuple[int, str]:
    return incarnation_sort_key(worker.info.incarnation)


def _remove_worker(
    worker: Worker, kind: EndKind, reason: str, state: FleetState, now: float
) -> list[Command]:
    """Remove a worker, and end its runs in the given way."""
    commands: list[Command] = []
    if state.active:
        commands += end_lost_runs(worker.worker_id, reason, state, now, kind)
    del state.workers[worker.worker_id]
    state.dirty_workers.discard(worker.worker_id)
    silent = round(now - worker.seen_at, 1)
    fields = {"worker": worker.worker_id, "silent": silent}
    return [*commands, WriteLog(number=WORKER_LOST.number, fields=fields)]


def _apply_run_end(
    reported: EndedRun | RefusedRun, worker: Worker, state: FleetState, now: float
) -> list[Command]:
    found = _find_member(reported.task, reported.run, worker, state)
    if found is None:
        return _learn_reported_end(reported, worker, state, now)
    unit, member = found
    ended = _run_ended(reported, member.index)
    commands = update_trust(worker, unit, ended.kind, state, now)
    return commands + end_run(unit, ended, worker.worker_id, state, now)


def _learn_reported_end(
    reported: EndedRun | RefusedRun, worker: Worker, state: FleetState, now: float
) -> list[Command]:
    """Apply an end that was recorded as unknown, and that the worker lists now."""
    for unit, end in _unknown_ends_on(worker.worker_id, state):
        if str(unit.task_id(end.index)) != reported.task or end.run != reported.run:
            continue
        if end.incarnation != worker.info.incarnation:
            continue
        kind = _run_ended(reported, end.index).kind
        commands = update_trust(worker, unit, kind, state, now)
        learned = UnknownEndLearned(end=end, kind=kind)
        return commands + learn_end(unit, learned, state, now)
    return []


def _unknown_ends_on(
    worker_id: str, state: FleetState
) -> list[tuple[Unit, UnknownEnd]]:
    """Return the former runs on a worker whose end is unknown, with their units."""
    units = [state.unit(unit_id) for unit_id in sorted(state.units_with_unknown_ends)]
    return [
        (unit, end)
        for unit in units
        if unit is not None
        for end in unit.unknown_ends
        if end.worker_id == worker_id
    ]


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
    return RunEnded(index=index, kind=kind, reason=reported.reason)


def _find_member(
    task: str, run: int, worker: Worker, state: FleetState
) -> tuple[Unit, UnitMember] | None:
    """Return the unit and member of a run on a worker, if the run has not ended."""
    try:
        task_id = TaskId.parse(task)
    except ValueError:
        return None
    job = state.jobs.get(task_id.job_id)
    if job is None or task_id.step >= len(job.spec.steps):
        return None
    gang = job.spec.steps[task_id.step].gang
    unit_id = UnitId(
        task_id.job_id,
        task_id.occurrence,
        task_id.step,
        0 if gang else task_id.position,
    )
    unit = job.units.get(unit_id)
    if unit is None or unit.run != run:
        return None
    for member in unit.members:
        same_incarnation = (
            member.worker_ref.worker_id == worker.worker_id
            and member.worker_ref.incarnation == worker.info.incarnation
        )
        if member.index == task_id.position and same_incarnation and not member.ended:
            return unit, member
    return None


def _is_expected(run: ListedRun, worker: Worker, state: FleetState) -> bool:
    return _find_member(run.task, run.run, worker, state) is not None


def _update_progress(worker: Worker, state: FleetState, now: float) -> None:
    """Apply the checkpoints and the progress of the runs that a worker lists."""
    for run in worker.runs:
        found = _find_member(run.task, run.run, worker, state)
        if found is None:
            continue
        unit, member = found
        member.progress.update(run.percent, run.idle, now)
        if run.idle:
            state.view.changed_units.add(unit.unit_id)
        if run.checkpoint and unit.step.checkpointing:
            unit.checkpoint = run.checkpoint
            unit.stored_row = None


def _log_worker(report: WorkerReport) -> Command:
    info = report.info
    fields = {
        "worker": info.worker_id,
        "incarnation": info.incarnation,
        "agent": report.agent_id,
        "state": info.state.value,
    }
    return WriteLog(number=WORKER_STATE_READ.number, fields=fields)
