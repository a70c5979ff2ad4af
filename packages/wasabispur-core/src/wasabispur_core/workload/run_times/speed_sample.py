"""Take samples of workers' speeds from the runs of the shard's owner.

Only runs that show the speed of their worker are samples: not those on a cold worker,
those that stalled, and those whose time another worker decides.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..jobs.unit import Unit, UnitMember
from ..owner.fleet_state import FleetState
from ..workers.reported_worker import Worker
from .remote_run import remote_factor
from .worker_speed import SampleSource, SpeedSample, StepKey

PROGRESS_WEIGHT = 0.5
"""Part of a sample as which the progress of a run counts; its end is the other part."""


def slowest_factor(unit: Unit, state: FleetState) -> float:
    """Return the largest factor among the workers of the unit's present run."""
    if not state.worker_speeds.factors:
        return 1.0
    return largest_factor(unit.members_by_worker, state)


def largest_factor(worker_ids: Iterable[str], state: FleetState) -> float:
    """Return the largest factor among some workers."""
    return max(map(state.worker_speeds.factor, worker_ids), default=1.0)


def observe_end(
    unit: Unit, member: UnitMember, seconds: float, state: FleetState, now: float
) -> None:
    """Take a sample from a completed run, of which the whole task takes some seconds.

    A gang ends as a whole, so that its end shows the speed of a single worker only.
    """
    worker = state.workers.get(member.worker_ref.worker_id)
    if worker is None or not _shows_speed(worker, unit, member, state, now):
        return
    if len(unit.members_by_worker) > 1:
        return
    sample = SpeedSample(
        key=StepKey(unit.unit_id.job_id, unit.unit_id.step, SampleSource.END),
        worker_id=worker.worker_id,
        seconds=seconds,
        weight=1.0 - PROGRESS_WEIGHT if member.progress.sampled else 1.0,
    )
    state.worker_speeds.observe(sample, seconds, now)


def observe_progress(
    worker: Worker,
    unit: Unit,
    member: UnitMember,
    state: FleetState,
    now: float,
) -> None:
    """Take a sample from the progress of a run, once it shows a rate."""
    progress = member.progress
    seconds = progress.whole_time
    if seconds is None or not _shows_speed(worker, unit, member, state, now):
        return
    progress.sampled = True
    sample = SpeedSample(
        key=StepKey(unit.unit_id.job_id, unit.unit_id.step, SampleSource.PROGRESS),
        worker_id=worker.worker_id,
        seconds=seconds / remote_factor(unit, state),
        weight=PROGRESS_WEIGHT,
        spread=len(unit.members_by_worker) > 1,
    )
    state.worker_speeds.observe(sample, progress.worked, now)


def _shows_speed(
    worker: Worker, unit: Unit, member: UnitMember, state: FleetState, now: float
) -> bool:
    """Return whether a run shows how fast its worker is when nothing disturbs it."""
    return (
        state.worker_speeds.enabled
        and not unit.step.long_running
        and member.started_at >= worker.cold_until
        and worker.suspected_until <= now
        and not member.progress.has_stalled
    )
