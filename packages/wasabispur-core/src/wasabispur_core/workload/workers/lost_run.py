"""End runs that no report lists, and forget the workers that ran them.

The entry instance that owns the shard does this if a worker was restarted, replaced or
silent for the lease horizon, and if the other members of a gang show that it ended.
"""

from __future__ import annotations

from dataclasses import replace

from ...command import Command, WriteLog
from ...log_event import WORKER_LOST
from ..jobs.crash_attribution import attribute_crash
from ..jobs.progress import UnknownEnd
from ..jobs.unit import RunEnded, Unit, UnknownEndLearned
from ..jobs.unit_event import attempt_limit
from ..jobs.unit_lifecycle import end_run, learn_end
from ..owner.fleet_state import FleetState
from ..planning.snapshot import REPORT_AGE_LIMIT
from .reported_worker import Worker
from .worker import EndKind, incarnation_sort_key, is_later_incarnation, WorkerState

RESTARTED = "the worker restarted"
REPLACED = "another worker runs at its address"
REPORT_MISSING = "there is no report on its worker"
NO_REPORT = "no report for the lease horizon"
END_SHOWN_BY_OTHERS = "the other members show its end"

CATCH_UP_TIME = 3.0
"""Seconds without a gap in the reports after which a worker can count as silent."""


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
    uncertain: bool = False,
) -> list[Command]:
    """End the runs on a worker, except those of the incarnation to keep.

    The reason is logged with each of them. Former runs there whose end is unknown will
    not be listed any more, and ended in the same way. uncertain is set if something
    else than a run may have ended the worker's process.
    """
    commands: list[Command] = []
    worker = state.workers.get(worker_id)
    for former, end in unknown_ends_on(worker_id, state):
        if not keep or end.incarnation != keep:
            learned = UnknownEndLearned(end=end, kind=kind)
            commands += learn_end(former, learned, state, now)
    for unit in state.units_on(worker_id):
        for member in unit.open_members_on(worker_id):
            if keep and member.worker_ref.incarnation == keep:
                continue
            key = str(unit.task_id(member.index)), unit.run
            begun = worker is not None and key in worker.begun_runs
            ended = RunEnded(
                index=member.index,
                kind=kind,
                reason=reason,
                uncertain=uncertain
                or (not begun and member.progress.listed_at is None),
            )
            ended = attribute_crash(ended, member, worker, state, now)
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
        for unit in state.units_on(worker.worker_id):
            if not unit.shows_end_on(worker.worker_id):
                continue
            attempts = attempt_limit(state.jobs[unit.unit_id.job_id], state)
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

    It is unknown whether such a worker had announced that it leaves, so that its end
    counts as a crash: a task that crashes each worker must not gain attempts from the
    loss of an owner. It counts less for a worker that was replaced, since its machine
    may have lost its power with all others. A worker without a report may be alive:
    its row may be invalid, or its agent has yet to write it again. Its runs end after
    the lease horizon.
    """
    for worker in state.workers.values():
        apply_recorded_incarnation(worker, state)
    commands = remove_replaced_workers(state, now, uncertain=True)
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


def remove_replaced_workers(
    state: FleetState, now: float, uncertain: bool = False
) -> list[Command]:
    """Remove the workers that a later one replaced at the same agent and address.

    uncertain is set if something else than a run may have ended their processes.
    """
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
            commands += _remove_worker(replaced, kind, REPLACED, state, now, uncertain)
    return commands


def unknown_ends_on(worker_id: str, state: FleetState) -> list[tuple[Unit, UnknownEnd]]:
    """Return the former runs on a worker whose end is unknown, with their units."""
    units = [state.unit(unit_id) for unit_id in sorted(state.units_with_unknown_ends)]
    return [
        (unit, end)
        for unit in units
        if unit is not None
        for end in unit.unknown_ends
        if end.worker_id == worker_id
    ]


def apply_recorded_incarnation(worker: Worker, state: FleetState) -> None:
    """Take a later incarnation, on which a run is recorded, for the present one.

    Its runs may be active even if the last report is on a former incarnation.
    """
    for unit in state.units_on(worker.worker_id):
        for member in unit.open_members_on(worker.worker_id):
            recorded = member.worker_ref.incarnation
            if is_later_incarnation(recorded, worker.info.incarnation):
                worker.info = replace(worker.info, incarnation=recorded)


def _workers_with_runs(state: FleetState) -> set[str]:
    """Return the workers with recorded runs, or with ends that are unknown."""
    units = [state.unit(unit_id) for unit_id in state.units_with_unknown_ends]
    former = {
        end.worker_id for unit in units if unit is not None for end in unit.unknown_ends
    }
    return former | {key for key, units in state.units_by_worker.items() if units}


def _reports_are_read(state: FleetState, now: float) -> bool:
    """Return whether reports have arrived without a gap for the catch-up time."""
    return now - state.reports_since >= CATCH_UP_TIME


def _age_order(worker: Worker) -> tuple[int, str]:
    return incarnation_sort_key(worker.info.incarnation)


def _remove_worker(
    worker: Worker,
    kind: EndKind,
    reason: str,
    state: FleetState,
    now: float,
    uncertain: bool = False,
) -> list[Command]:
    """Remove a worker, and end its runs in the given way."""
    commands = end_lost_runs(
        worker.worker_id, reason, state, now, kind, uncertain=uncertain
    )
    del state.workers[worker.worker_id]
    state.dirty_workers.discard(worker.worker_id)
    silent = round(now - worker.seen_at, 1)
    fields = {"worker": worker.worker_id, "silent": silent}
    return [*commands, WriteLog(number=WORKER_LOST.number, fields=fields)]
