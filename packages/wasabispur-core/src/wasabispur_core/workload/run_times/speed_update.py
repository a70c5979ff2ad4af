"""Let the owner's decisions, its row and its log follow the learned worker speeds."""

from __future__ import annotations

from ...command import Command, WriteLog
from ...log_event import WORKER_SPEED_CHANGED
from ...sharding.ownership import WriteRow
from ..owner.fleet_state import FleetState
from .worker_speed import WorkerSpeeds
from .worker_speed_row import worker_speeds_key, worker_speeds_row

UPDATE_INTERVAL = 1.0
"""Seconds between two updates of the factors."""

WRITE_INTERVAL = 5.0
"""Least time in seconds between two writes of the row with the factors."""

SLOW_FACTOR = 1.15
"""Factor above which a worker is reported as slow."""

REPORT_INTERVAL = 10.0
"""Least time in seconds between two records about the speed of one worker."""


def follow_speeds(state: FleetState, now: float) -> list[Command]:
    """Update the factors, and return records and the row; part of the tick."""
    speeds = state.worker_speeds
    if not speeds.enabled or now - speeds.followed_at < UPDATE_INTERVAL:
        return []
    speeds.followed_at = now
    speeds.compare_due(now)
    speeds.forget_beyond_limit(state.workers)
    for worker_id in speeds.update(len(state.workers), now):
        state.mark_speed_changed(worker_id)
    return [*_report(speeds, now), *_write(speeds, now)]


def slow_workers(speeds: WorkerSpeeds) -> set[str]:
    """Return the workers that are reported as slow."""
    return {one for one, factor in speeds.factors.items() if factor > SLOW_FACTOR}


def _report(speeds: WorkerSpeeds, now: float) -> list[Command]:
    """Return a record for each worker that became slow or recovered."""
    slow = slow_workers(speeds)
    commands: list[Command] = []
    for worker_id in sorted(slow ^ speeds.reported):
        if now - speeds.reported_at.get(worker_id, -REPORT_INTERVAL) < REPORT_INTERVAL:
            continue
        speeds.reported_at[worker_id] = now
        speeds.reported ^= {worker_id}
        estimate = speeds.estimates.get(worker_id)
        fields = {
            "worker": worker_id,
            "factor": round(speeds.factor(worker_id), 2),
            "samples": estimate.samples if estimate is not None else 0,
            "slow": len(slow),
        }
        commands.append(WriteLog(number=WORKER_SPEED_CHANGED.number, fields=fields))
    return commands


def _write(speeds: WorkerSpeeds, now: float) -> list[Command]:
    """Write the row if a factor has changed, but not before the former one is known."""
    if not speeds.unsaved or not speeds.stored_known:
        return []
    if now - speeds.saved_at < WRITE_INTERVAL:
        return []
    speeds.unsaved = False
    speeds.saved_at = now
    return [WriteRow(key=worker_speeds_key(), value=worker_speeds_row(speeds))]
