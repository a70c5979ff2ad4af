"""Forecast the run times of jobs at the shard's owner, and learn from ended runs.

The forecasts of a job are kept until one of them moves by more than a share, so that
the planner derives few units again.
"""

from __future__ import annotations

from ..jobs.job import Job
from ..jobs.step_graph import run_estimate
from ..jobs.unit import RunEnded, Unit, UnitMember
from ..owner.fleet_state import FleetState
from ..workers.worker import EndKind
from .remote_run import remote_factor
from .run_time import EstimateUse, JobForecast, run_kind, RunKind, RunOutcome
from .run_time_fit import Forecast
from .speed_sample import observe_end, slowest_factor

REFRESH_INTERVAL = 1.0
"""Seconds between two times that the forecasts of all jobs follow the ended runs."""

NOTICED_CHANGE = 0.1
"""Relative change of a forecast from which the units of the job are derived again."""

LEAST_SHARE_LEFT = 20
"""Percentage of its work that a resumed run must have to tell the whole run time.

Workers list whole percentages, so that less would multiply the error of one of them.
"""

SAVED_SHARE_LIMIT = 0.95
"""Largest share of the work that counts as saved; a restart takes time too."""

OUTCOMES = {
    EndKind.DONE: RunOutcome.COMPLETED,
    EndKind.FAILED: RunOutcome.INTERRUPTED,
    EndKind.STOPPED: RunOutcome.INTERRUPTED,
    EndKind.BROKEN: RunOutcome.INTERRUPTED,
}
"""Ends that tell how long a task ran; the time of the others is not known."""


def job_forecast(job: Job, state: FleetState) -> JobForecast:
    """Return the forecast of a job's run times, computed on first use."""
    if job.forecast is None:
        job.forecast = _new_forecast(job, state)
    return job.forecast


def step_forecast(job: Job, step: int, state: FleetState) -> Forecast:
    """Return the expected run time of a task of one of the job's steps."""
    return job_forecast(job, state).steps[step]


def objective_path(job: Job, state: FleetState) -> float:
    """Return the seconds of work of the job's longest chain, for its objective."""
    if state.run_times.use is EstimateUse.ALL:
        longest_path = job_forecast(job, state).longest_path
        return longest_path / state.run_times.overhead(job.spec.queue)
    return job.graph.longest_path


def refresh_forecasts(state: FleetState, now: float) -> None:
    """Let the forecasts of all jobs follow what was learned, at intervals."""
    if now - state.run_times.refreshed_at < REFRESH_INTERVAL:
        return
    state.run_times.refreshed_at = now
    queues = state.run_times.refresh()
    if not queues:
        return
    for job in state.jobs.values():
        if job.spec.queue in queues and not job.state.ended:
            _update_forecast(job, state)


def record_run(unit: Unit, ended: RunEnded, state: FleetState, now: float) -> None:
    """Learn from a run of one member that ends."""
    outcome = OUTCOMES.get(ended.kind)
    member = unit.member(ended.index)
    if outcome is None or member is None or member.ended or unit.step.long_running:
        return
    if state.run_times.use is EstimateUse.NOTHING:
        return
    seconds = now - member.started_at
    if outcome is RunOutcome.COMPLETED:
        seconds = _completed_time(unit, member, now)
    elif member.progress.stalled_for:
        return
    if not seconds:
        return
    seconds /= remote_factor(unit, state)
    if outcome is RunOutcome.COMPLETED:
        observe_end(unit, member, seconds, state, now)
    seconds /= slowest_factor(unit, state)
    job = state.jobs[unit.unit_id.job_id]
    state.run_times.record(_kind(job, unit.unit_id.step), seconds, outcome)
    _update_forecast(job, state)


def observed_remaining(unit: Unit, now: float) -> float | None:
    """Return the seconds until the last run of the unit ends, at the observed rates.

    Returns None if the rate of a run is not known.
    """
    longest = 0.0
    for member in unit.members:
        if member.ended:
            continue
        remaining = member.progress.remaining(now)
        if remaining is None:
            return None
        longest = max(longest, remaining)
    return longest if unit.may_be_running else None


def compare_progress(unit: Unit, state: FleetState, now: float) -> None:
    """Derive a running unit again if its progress shows another end than expected."""
    running = state.view.running.get(unit.unit_id)
    remaining = observed_remaining(unit, now)
    if running is None or remaining is None:
        return
    if abs(remaining - running.remaining_at(now)) > NOTICED_CHANGE * running.run_time:
        unit.observed_end = now + remaining
        state.view.changed_units.add(unit.unit_id)


def saved_work(unit: Unit) -> float:
    """Return the share of the work that a waiting unit need not do again.

    It is that of the member that had done least when its worker listed it last, and is
    unknown after a change of the owner.
    """
    if not unit.checkpoint or not unit.members:
        return 0.0
    least = min(member.progress.percent for member in unit.members)
    return min(least / 100, SAVED_SHARE_LIMIT)


def _completed_time(unit: Unit, member: UnitMember, now: float) -> float:
    """Return the seconds that the whole task takes, or 0 if that is unknown.

    A run from a checkpoint has done a part of the work, and tells the time of the whole
    by the percentage with which it began.
    """
    if not unit.start_checkpoint:
        return now - member.started_at
    progress = member.progress
    left = 100 - progress.first_percent
    if progress.listed_at is None or left == 100 or left < LEAST_SHARE_LEFT:
        return 0.0
    return (now - progress.first_at) * 100 / left


def _update_forecast(job: Job, state: FleetState) -> None:
    """Derive a job's units again if its forecasts have moved."""
    known = job.forecast
    if known is None:
        return
    forecast = _new_forecast(job, state)
    if any(map(_has_moved, known.steps, forecast.steps)):
        job.forecast = forecast
        state.view.changed_units.update(job.units)


def _has_moved(known: Forecast, new: Forecast) -> bool:
    return abs(new.median - known.median) > NOTICED_CHANGE * known.median


def _new_forecast(job: Job, state: FleetState) -> JobForecast:
    steps = range(len(job.spec.steps))
    if state.run_times.use is EstimateUse.NOTHING:
        forecasts = [Forecast(run_estimate(step)) for step in job.spec.steps]
    else:
        forecasts = [state.run_times.forecast(_kind(job, step)) for step in steps]
    paths = job.graph.critical_paths_of([forecast.median for forecast in forecasts])
    return JobForecast(
        steps=tuple(forecasts), paths=tuple(paths), longest_path=max(paths, default=0.0)
    )


def _kind(job: Job, number: int) -> RunKind:
    spec = job.spec
    step = spec.steps[number]
    return run_kind(spec.queue, spec.organisation, step, spec.job_id, number)
