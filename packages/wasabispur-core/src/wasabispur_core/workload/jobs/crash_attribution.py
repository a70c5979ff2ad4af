"""Decide how much the crash of a worker counts against each of its units.

The shard's owner asks this when runs end because their worker's process has ended.
Which task caused that is not known, but one that has just begun is the likely cause.
"""

from __future__ import annotations

from dataclasses import replace
from math import inf

from ..owner.fleet_state import FleetState
from ..workers.reported_worker import Worker
from ..workers.worker import EndKind, WorkerReport
from .unit import RunEnded, UnitMember

START_SPREAD = 0.25
"""Seconds by which a run must precede the last start to be the less likely cause."""

RECENT_START_TIME = 1.0
"""Seconds after the last start within which it is the likely cause of a crash.

An order takes up to 0.1 s to the worker, and a crash about 0.3 s to the owner.
"""


def begun_runs_in(report: WorkerReport) -> frozenset[tuple[str, int]]:
    """Return the runs that a report lists as crashed and begun."""
    return frozenset(
        (refused.task, refused.run)
        for refused in report.refused
        if refused.crashed and not refused.uncertain
    )


def attribute_crash(
    ended: RunEnded,
    member: UnitMember,
    worker: Worker | None,
    state: FleetState,
    now: float,
) -> RunEnded:
    """Return the end of a run, as uncertain if another one is the likely cause.

    That is the case for a run that the worker has listed before it got another one.
    An uncertain crash counts less, but it counts: a task that crashes its workers late
    would otherwise be hidden by the starts beside it.
    """
    survived_start = member.progress.listed_at is not None
    if ended.kind is not EndKind.CRASHED or worker is None or not survived_start:
        return ended
    last_start = max(worker.last_start_at, _last_open_start(worker, state))
    recent = now - last_start <= RECENT_START_TIME
    if recent and last_start - member.started_at > START_SPREAD:
        return replace(ended, uncertain=True)
    return ended


def _last_open_start(worker: Worker, state: FleetState) -> float:
    """Return when the last run that may still be on a worker was started there."""
    return max(
        (
            member.started_at
            for unit in state.units_on(worker.worker_id)
            for member in unit.open_members_on(worker.worker_id)
        ),
        default=-inf,
    )
