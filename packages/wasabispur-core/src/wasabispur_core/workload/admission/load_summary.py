"""Sum up the fleet's capacity and open work at the shard's owner.

Times are taken at the lower quartile, and work whose time is not known counts as none,
so that entries rather accept a job than reject it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from ..jobs.job import Job
from ..jobs.occurrence import open_tasks
from ..jobs.spec import QueueTerms
from ..jobs.unit import WAITING
from ..owner.fleet_state import FleetState
from ..planning.waiting_order import LATENESS_FACTOR_LIMIT
from ..run_times.run_forecast import job_forecast, objective_path, saved_work
from ..run_times.run_time import RunTimeModel
from ..workers.service_capacity import service_capacities
from .load_row import FleetLoad, LevelLoad, ServiceLoad
from .work import NO_WORK, Work, work_of

LOWER_QUARTILE = 0.25
UPPER_QUARTILE = 0.75

RUN_TIME_DIGITS = 2
"""Decimal places of the run times in the row, in seconds."""

Level = tuple[str, int, bool]
"""A service, a priority, and whether the work is that of gangs."""

StepKey = tuple[str, int]
"""A job and the position of one of its steps."""


class TaskTime(NamedTuple):
    """Describe the expected time of a task in seconds by two of its quantiles."""

    median: float
    lower: float


UNKNOWN_TIME = TaskTime(0.0, 0.0)


class OpenWork:
    """Sum up open work by service, priority and organisation."""

    def __init__(self) -> None:
        self.work: defaultdict[Level, defaultdict[str, Work]] = defaultdict(
            lambda: defaultdict(Work)
        )
        self.worthless: defaultdict[Level, Work] = defaultdict(Work)

    def add(self, level: Level, organisation: str, work: Work, worthless: bool) -> None:
        """Add the open work of a job."""
        if worthless:
            self.worthless[level] = self.worthless[level].plus(work)
        else:
            known = self.work[level]
            known[organisation] = known[organisation].plus(work)

    def levels(self, service: str) -> tuple[LevelLoad, ...]:
        """Return the open work of a service by priority, in whole numbers."""
        found = sorted(self.work.keys() | self.worthless.keys())
        return tuple(
            LevelLoad(
                priority=level[1],
                gang=level[2],
                work={
                    name: whole
                    for name, work in sorted(self.work[level].items())
                    if any(whole := _whole(work))
                },
                worthless=_whole(self.worthless[level]),
            )
            for level in found
            if level[0] == service
        )

    def seconds(self, service: str, capacity: Work) -> float:
        """Return the seconds that the fleet takes for the open work of a service."""
        total = NO_WORK
        for level, work in self.work.items():
            if level[0] == service:
                for amount in work.values():
                    total = total.plus(amount)
        for level, amount in self.worthless.items():
            if level[0] == service:
                total = total.plus(amount)
        return total.seconds(capacity)


def summarise_load(state: FleetState, now: float) -> FleetLoad:
    """Return the present load, without sequence number.

    The open work of a service is left out unless it is contended, that is, unless it
    takes longer than some job of the service's queues can wait.
    """
    run_times = _quartiles(state)
    open_work = _open_work(run_times, state, now)
    services = tuple(
        ServiceLoad(
            service=name,
            capacity=_whole(capacity),
            levels=open_work.levels(name)
            if open_work.seconds(name, capacity) > _slack(name, run_times, state)
            else (),
        )
        for name, capacity in sorted(service_capacities(state).items())
    )
    return FleetLoad(
        epoch=state.epoch,
        written_at=now + state.store_offset,
        services=services,
        run_times=run_times,
    )


def _quartiles(state: FleetState) -> dict[str, tuple[float, float]]:
    """Return the quartiles of the run times of the queues in which tasks have run."""
    found: dict[str, tuple[float, float]] = {}
    for name in sorted(state.policy.queues):
        lower, upper = (
            round(time, RUN_TIME_DIGITS)
            for time in _queue_quartiles(state.run_times, name)
        )
        if lower > 0.0:
            found[name] = lower, upper
    return found


def _queue_quartiles(model: RunTimeModel, queue: str) -> tuple[float, float]:
    forecast = model.queue_forecast(queue)
    if forecast is None:
        return 0.0, 0.0
    return forecast.quantile(LOWER_QUARTILE), forecast.quantile(UPPER_QUARTILE)


def _slack(
    service: str, run_times: dict[str, tuple[float, float]], state: FleetState
) -> float:
    """Return the least time in seconds that a job of the service can wait."""
    return min(
        (
            LATENESS_FACTOR_LIMIT * (queue.stretch * upper + queue.target) - lower
            for name, (lower, upper) in run_times.items()
            if (queue := state.policy.queues[name]).service == service
        ),
        default=0.0,
    )


def _open_work(
    run_times: dict[str, tuple[float, float]], state: FleetState, now: float
) -> OpenWork:
    done = _done_seconds(state, now)
    open_work = OpenWork()
    for job in state.jobs.values():
        terms = state.terms(job)
        times = run_times.get(job.spec.queue)
        if terms is None or times is None or job.state.ended or job.held:
            continue
        worthless = _is_worthless(job, terms, state, now)
        for gang, work in _open_steps(job, times[1], state, done):
            level = terms.service, terms.priority, gang
            open_work.add(level, job.spec.organisation, work, worthless)
    return open_work


def _open_steps(
    job: Job, limit: float, state: FleetState, done: dict[StepKey, float]
) -> Iterator[tuple[bool, Work]]:
    """Return the open work of the job's steps whose run times are known.

    It comes with whether the tasks of the step are a gang. limit is that of a task's
    time in seconds, so that one that declares nonsense is not ahead of all others.
    """
    forecasts = job_forecast(job, state).steps
    for number, step in enumerate(job.spec.steps):
        forecast = forecasts[number]
        if step.long_running or not forecast.spread:
            continue
        tasks = 0
        for occurrence in job.open_occurrences.values():
            if number in occurrence.completed_steps:
                continue
            tasks += open_tasks(step, occurrence.steps.get(number))
        seconds = tasks * min(forecast.quantile(LOWER_QUARTILE), limit)
        left = seconds - done.get((job.spec.job_id, number), 0.0)
        if left > 0.0:
            yield step.gang, work_of(step.reserved, left)


def _done_seconds(state: FleetState, now: float) -> dict[StepKey, float]:
    """Return the task-seconds that open units have done, by step.

    A run counts for no more than a task is expected to take, or for all but what its
    observed rate leaves.
    """
    done: defaultdict[StepKey, float] = defaultdict(float)
    expected: dict[StepKey, TaskTime] = {}
    for unit_id, running in state.view.running.items():
        key = unit_id.job_id, unit_id.step
        needed = (expected.get(key) or _expect(key, expected, state)).lower
        left = max(needed - (now - running.measured_at), 0.0)
        left = min(left, max(running.observed_end - now, 0.0))
        done[key] += (needed - left) * len(running.placement)
    for job in state.jobs.values():
        if job.begun and any(step.checkpointing for step in job.spec.steps):
            for unit in job.units.values():
                if unit.checkpoint and unit.state == WAITING:
                    key = unit.unit_id.job_id, unit.unit_id.step
                    median = (expected.get(key) or _expect(key, expected, state)).median
                    done[key] += saved_work(unit) * median * unit.size
    return done


def _expect(
    key: StepKey, expected: dict[StepKey, TaskTime], state: FleetState
) -> TaskTime:
    """Return the expected time of a step's tasks, and keep it for its other units."""
    job = state.jobs.get(key[0])
    time = UNKNOWN_TIME
    if job is not None and not job.state.ended:
        forecast = job_forecast(job, state).steps[key[1]]
        time = TaskTime(forecast.median, forecast.quantile(LOWER_QUARTILE))
    expected[key] = time
    return time


def _is_worthless(job: Job, terms: QueueTerms, state: FleetState, now: float) -> bool:
    """Return whether a job has lost all value."""
    if job.spec.repeats:
        return False
    objective = terms.stretch * objective_path(job, state) + terms.target
    started_at = job.spec.accepted_at - state.store_offset
    return now - started_at > LATENESS_FACTOR_LIMIT * objective


def _whole(work: Work) -> Work:
    return Work(*map(int, work))
