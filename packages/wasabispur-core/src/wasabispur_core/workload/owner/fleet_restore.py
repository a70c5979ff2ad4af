"""Restore all jobs once a new owner of the shard has read everything."""

from __future__ import annotations

from ...command import Command, WriteLog
from ...log_event import FLEET_LOADED
from ..jobs.job_start import start_job
from ..workers.lost_run import reconcile_recorded_runs
from .fleet_state import FleetState
from .takeover import log_step


def continue_takeover(
    step: str, rows: int, state: FleetState, now: float
) -> list[Command]:
    """Log that a step of the takeover has ended, and begin after the last one."""
    commands: list[Command] = []
    if state.takeover is not None:
        commands.append(log_step(state.takeover, step, rows, state.loading, now))
    return commands + _begin(state, now) if state.active else commands


def _begin(state: FleetState, now: float) -> list[Command]:
    """Start or restore all jobs, once the owner has read everything."""
    commands: list[Command] = []
    for job in list(state.jobs.values()):
        commands += start_job(job, state, now)
    commands += reconcile_recorded_runs(state, now)
    state.dirty_workers.update(state.workers, state.units_by_worker)
    fields = {
        "epoch": state.epoch,
        "jobs": len(state.jobs),
        "workers": len(state.workers),
        "took": state.takeover.age(now) if state.takeover else 0.0,
    }
    return [WriteLog(number=FLEET_LOADED.number, fields=fields), *commands]
